use std::time::Duration;

use super::{Beat, Load, Row, TargetKey};
use crate::id::{Incarnation, InstanceId};

/// Age at which an instance's rows are dropped: several beats of the slowest rate were lost, so the instance is gone or
/// cut off.
const STALE: Duration = Duration::from_millis(2_500);

/// A reading that takes longer than predicted still counts with this share of its time.
const LEAST_AHEAD: f64 = 0.25;

/// A request that was sent to a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// Whether it is late anyway, so that newer work may come first.
    pub background: bool,
    /// Predicted time of the first event.
    pub finish: Duration,
    /// Target that the request was sent to.
    pub first: TargetKey,
    /// Longest pause between events that it bears; zero without a stream.
    pub gap: Duration,
    /// Targets that read a part of the prompt besides the first, and the tokens of context that each holds.
    pub helpers: Vec<(TargetKey, u32)>,
    /// Whether its prompt is short.
    pub light: bool,
    /// Reading time of each part.
    pub part: Duration,
    /// Time at which it was sent.
    pub start: Duration,
    /// Tokens of context at the first target.
    pub tokens: u32,
}

/// What all instances have at the targets, as far as this one knows.
#[derive(Clone, Debug, Default)]
pub struct View {
    next: u64,
    /// Own requests, sorted by number.
    own: Vec<Item>,
    /// Sorted by instance.
    peers: Vec<Peer>,
}

#[derive(Clone, Debug)]
struct Item {
    number: u64,
    reading: bool,
    work: Work,
}

#[derive(Clone, Debug)]
struct Peer {
    at: Duration,
    incarnation: Incarnation,
    instance: InstanceId,
    rows: Vec<Row>,
    sequence: u64,
}

impl View {
    /// Adds a request of this instance; returns its number.
    pub fn start(&mut self, work: Work) -> u64 {
        self.next += 1;
        self.own.push(Item {
            number: self.next,
            reading: true,
            work,
        });
        self.next
    }

    /// Notes that the prompt of a request was read.
    pub fn read(&mut self, number: u64) {
        if let Ok(at) = self.own.binary_search_by_key(&number, |item| item.number) {
            self.own[at].reading = false;
        }
    }

    /// Removes a request.
    pub fn finish(&mut self, number: u64) {
        if let Ok(at) = self.own.binary_search_by_key(&number, |item| item.number) {
            self.own.remove(at);
        }
    }

    /// Takes a beat of another instance; false if a newer one of the same process came before.
    pub fn hear(&mut self, beat: &Beat, now: Duration) -> bool {
        let peer = Peer {
            at: now,
            incarnation: beat.incarnation,
            instance: beat.instance.clone(),
            rows: beat.rows.clone(),
            sequence: beat.sequence,
        };
        let found = self
            .peers
            .binary_search_by(|known| known.instance.cmp(&beat.instance));
        match found {
            Ok(at) => {
                let known = &self.peers[at];
                if known.incarnation == peer.incarnation && known.sequence >= peer.sequence {
                    return false;
                }
                self.peers[at] = peer;
            }
            Err(at) => self.peers.insert(at, peer),
        }
        true
    }

    /// Forgets instances that were not heard of for long.
    pub fn expire(&mut self, now: Duration) {
        self.peers.retain(|peer| now < peer.at + STALE);
    }

    /// Number of requests that this instance has at targets.
    pub fn own(&self) -> usize {
        self.own.len()
    }

    /// What this instance has at each target, sorted by target.
    pub fn rows(&self, now: Duration) -> Vec<Row> {
        let mut rows: Vec<Row> = Vec::new();
        for item in &self.own {
            let work = &item.work;
            let ahead = item.ahead(now);
            let row = row(&mut rows, work.first);
            row.running += 1;
            row.light += u32::from(work.light);
            row.tokens = row.tokens.saturating_add(work.tokens);
            row.add(ahead, work.background);
            let gap = work.gap.as_millis() as u32;
            if gap > 0 && (row.gap_ms == 0 || gap < row.gap_ms) {
                row.gap_ms = gap;
            }
            for (helper, held) in &work.helpers {
                let row = self::row(&mut rows, *helper);
                row.add(ahead, work.background);
                row.tokens = row.tokens.saturating_add(*held);
            }
        }
        rows
    }

    /// What all instances together have at each target, sorted by target.
    pub fn loads(&self, now: Duration) -> Vec<(TargetKey, Load)> {
        let mut loads: Vec<(TargetKey, Load)> = Vec::new();
        for row in self.rows(now) {
            add(&mut loads, &row, Duration::ZERO);
        }
        for peer in self.peers.iter().filter(|peer| now < peer.at + STALE) {
            for row in &peer.rows {
                add(&mut loads, row, now.saturating_sub(peer.at));
            }
        }
        loads
    }
}

impl Item {
    /// Reading time that is still ahead in milliseconds; it shrinks evenly until the predicted end.
    fn ahead(&self, now: Duration) -> u32 {
        if !self.reading {
            return 0;
        }
        let work = &self.work;
        let whole = work
            .finish
            .saturating_sub(work.start)
            .as_secs_f64()
            .max(0.001);
        let left = work.finish.saturating_sub(now).as_secs_f64() / whole;
        let share = left.clamp(LEAST_AHEAD, 1.0);
        (work.part.as_secs_f64() * 1e3 * share).ceil() as u32
    }
}

impl Row {
    fn add(&mut self, ahead: u32, background: bool) {
        let time = if background {
            &mut self.background_ms
        } else {
            &mut self.backlog_ms
        };
        *time = time.saturating_add(ahead);
    }
}

fn row(rows: &mut Vec<Row>, target: TargetKey) -> &mut Row {
    let found = rows.binary_search_by_key(&target, |row| row.target);
    let at = found.unwrap_or_else(|at| {
        let row = Row {
            target,
            ..Row::default()
        };
        rows.insert(at, row);
        at
    });
    &mut rows[at]
}

/// Adds a row that is `age` old: the target has read on since.
fn add(loads: &mut Vec<(TargetKey, Load)>, row: &Row, age: Duration) {
    let found = loads.binary_search_by_key(&row.target, |(target, _)| *target);
    let at = found.unwrap_or_else(|at| {
        loads.insert(at, (row.target, Load::default()));
        at
    });
    let load = &mut loads[at].1;
    load.backlog += Duration::from_millis(u64::from(row.backlog_ms)).saturating_sub(age);
    load.background += Duration::from_millis(u64::from(row.background_ms)).saturating_sub(age);
    load.light += row.light;
    load.running += row.running;
    load.tokens = load.tokens.saturating_add(row.tokens);
    if row.gap_ms > 0 {
        let gap = Duration::from_millis(u64::from(row.gap_ms));
        load.gap = Some(load.gap.map_or(gap, |known| known.min(gap)));
    }
}
