use std::time::Duration;

use super::{Backlog, Heartbeat, Load, Prefill, Row, TargetKey};
use crate::id::{Incarnation, InstanceId};

/// Age at which an instance's rows are dropped: several beats of the slowest rate were lost, so the instance is gone or
/// cut off.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time for which a long prompt that was read is remembered: while engines read its parts, others had to wait there. It
/// covers the longest objective of a first event.
const PREFILL_RETENTION: Duration = Duration::from_secs(3);

/// The same for a prompt with short parts, which hold up others by little; beats stay small.
const SHORT_PART_RETENTION: Duration = Duration::from_millis(400);

/// Longest reading time of a short part.
const SHORT_PART: Duration = Duration::from_millis(60);

/// A request that was sent to a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// Whether it is late anyway, so that newer work may come first.
    pub background: bool,
    /// Target that the request was sent to.
    pub primary: TargetKey,
    /// Longest pause between events that it bears; zero without a stream.
    pub gap: Duration,
    /// Targets that read a part of the prompt besides the first, and the tokens of context that each holds.
    pub helpers: Vec<(TargetKey, u32)>,
    /// Whether its prompt is short.
    pub short: bool,
    /// Reading time of each part.
    pub part_time: Duration,
    /// Drawn at random; the lower one goes first where two instances choose the same targets at the same time.
    pub rank: u32,
    /// Time at which its targets were chosen.
    pub start: Duration,
    /// Tokens of context at the first target.
    pub tokens: u32,
}

/// What all instances have at the targets, as far as this one knows.
#[derive(Clone, Debug, Default)]
pub struct View {
    next: u64,
    /// Own requests, sorted by number.
    own: Vec<OwnRequest>,
    /// Sorted by instance.
    peers: Vec<Peer>,
    /// Own prompts that are read, or were read lately, sorted by number.
    prefills: Vec<OwnPrefill>,
}

#[derive(Clone, Debug)]
struct OwnRequest {
    number: u64,
    work: Work,
}

#[derive(Clone, Debug)]
struct OwnPrefill {
    prefill: Prefill,
    start: Duration,
}

impl OwnPrefill {
    fn retention(&self) -> Duration {
        let part = Duration::from_millis(u64::from(self.prefill.part_ms));
        if part <= SHORT_PART {
            SHORT_PART_RETENTION
        } else {
            PREFILL_RETENTION
        }
    }
}

/// A prompt of another instance.
#[derive(Clone, Debug)]
struct PeerPrefill {
    /// Time at which it was first heard of.
    at: Duration,
    prefill: Prefill,
    start: Duration,
}

#[derive(Clone, Debug)]
struct Peer {
    at: Duration,
    incarnation: Incarnation,
    instance: InstanceId,
    prefills: Vec<PeerPrefill>,
    rows: Vec<Row>,
    sequence: u64,
}

impl View {
    /// Adds a request of this instance; returns its number.
    pub fn start(&mut self, work: Work) -> u64 {
        self.next += 1;
        let helpers = work.helpers.iter().map(|(helper, _)| *helper);
        self.prefills.push(OwnPrefill {
            prefill: Prefill {
                age_ms: 0,
                background: work.background,
                number: self.next,
                part_ms: work.part_time.as_millis() as u32,
                rank: work.rank,
                finished: false,
                targets: std::iter::once(work.primary).chain(helpers).collect(),
            },
            start: work.start,
        });
        self.own.push(OwnRequest {
            number: self.next,
            work,
        });
        self.next
    }

    /// Notes that the prompt of a request was read.
    pub fn finish_prefill(&mut self, number: u64) {
        if let Ok(at) = self.prefill(number) {
            self.prefills[at].prefill.finished = true;
        }
    }

    /// Removes a request.
    pub fn finish(&mut self, number: u64) {
        if let Ok(at) = self.own.binary_search_by_key(&number, |item| item.number) {
            self.own.remove(at);
        }
        match self.prefill(number) {
            // What was not read when the request ended is not read any more.
            Ok(at) if !self.prefills[at].prefill.finished => {
                self.prefills.remove(at);
            }
            Ok(_) | Err(_) => {}
        }
    }

    fn prefill(&self, number: u64) -> Result<usize, usize> {
        self.prefills
            .binary_search_by_key(&number, |sent| sent.prefill.number)
    }

    /// Takes a beat of another instance; false if a newer one of the same process came before.
    pub fn receive(&mut self, heartbeat: &Heartbeat, now: Duration) -> bool {
        let found = self
            .peers
            .binary_search_by(|known| known.instance.cmp(&heartbeat.instance));
        let before = found.ok().map(|at| &self.peers[at]);
        let before = before.filter(|known| known.incarnation == heartbeat.incarnation);
        if before.is_some_and(|known| known.sequence >= heartbeat.sequence) {
            return false;
        }
        let known = before.map_or(&[][..], |known| &known.prefills[..]);
        let prefills = heartbeat.prefills.iter();
        let peer = Peer {
            at: now,
            incarnation: heartbeat.incarnation,
            instance: heartbeat.instance.clone(),
            prefills: prefills
                .map(|prefill| received(known, prefill, now))
                .collect(),
            rows: heartbeat.rows.clone(),
            sequence: heartbeat.sequence,
        };
        match found {
            Ok(at) => self.peers[at] = peer,
            Err(at) => self.peers.insert(at, peer),
        }
        true
    }

    /// Whether a prompt gives way to another instance's, for which some of the same targets were chosen before either
    /// instance knew of the other's choice. `window` is the time within which choices become known. Both instances come
    /// to the same result: the choice with the lower rank stands. One that is older by more than the window stands in any
    /// case: its instance did not know of this one.
    pub fn gives_way(&self, number: u64, window: Duration) -> bool {
        let Ok(at) = self.prefill(number) else {
            return false;
        };
        let own = &self.prefills[at];
        let meets = |other: &&PeerPrefill| {
            let targets = &other.prefill.targets;
            let shares = |target| targets.contains(target);
            !other.prefill.finished
                && (own.prefill.background || !other.prefill.background)
                && other.at > own.start
                && own.prefill.targets.iter().any(shares)
        };
        let goes_first = |other: &PeerPrefill| {
            if other.start + window < own.start {
                return true;
            }
            other.start <= own.start + window && other.prefill.rank < own.prefill.rank
        };
        let others = self.peers.iter().flat_map(|peer| &peer.prefills);
        others.filter(meets).any(goes_first)
    }

    /// Forgets instances that were not heard of for long, and prompts that were read long ago.
    pub fn expire(&mut self, now: Duration) {
        self.prefills
            .retain(|sent| !sent.prefill.finished || now < sent.start + sent.retention());
        self.peers.retain(|peer| now < peer.at + PEER_TIMEOUT);
    }

    /// Number of requests that this instance has at targets.
    pub fn request_count(&self) -> usize {
        self.own.len()
    }

    /// What this instance has at each target, sorted by target.
    pub fn rows(&self) -> Vec<Row> {
        let mut rows: Vec<Row> = Vec::new();
        for item in &self.own {
            let work = &item.work;
            let row = row(&mut rows, work.primary);
            row.running += 1;
            row.short += u32::from(work.short);
            row.tokens = row.tokens.saturating_add(work.tokens);
            let gap = work.gap.as_millis() as u32;
            if gap > 0 && (row.gap_ms == 0 || gap < row.gap_ms) {
                row.gap_ms = gap;
            }
            for (helper, held) in &work.helpers {
                let row = self::row(&mut rows, *helper);
                row.tokens = row.tokens.saturating_add(*held);
            }
        }
        rows
    }

    /// The prompts that targets read for this instance, and those that were read lately.
    pub fn prefills(&self, now: Duration) -> Vec<Prefill> {
        let aged = |sent: &OwnPrefill| Prefill {
            age_ms: now.saturating_sub(sent.start).as_millis() as u32,
            ..sent.prefill.clone()
        };
        self.prefills.iter().map(aged).collect()
    }

    /// What all instances together have at each target, sorted by target.
    pub fn loads(&self, now: Duration) -> Vec<(TargetKey, Load)> {
        let mut loads: Vec<(TargetKey, Load)> = Vec::new();
        let mut backlogs: Vec<(TargetKey, Backlog)> = Vec::new();
        for row in self.rows() {
            add(&mut loads, &row);
        }
        for sent in &self.prefills {
            queue(&mut backlogs, &sent.prefill, sent.start);
        }
        for peer in self
            .peers
            .iter()
            .filter(|peer| now < peer.at + PEER_TIMEOUT)
        {
            for row in &peer.rows {
                add(&mut loads, row);
            }
            for prefill in &peer.prefills {
                queue(&mut backlogs, &prefill.prefill, prefill.start);
            }
        }
        for (target, backlog) in backlogs {
            let load = load(&mut loads, target);
            load.backlog = backlog.ahead(now);
            load.background = backlog.background(now);
        }
        loads
    }
}

/// Takes a prompt from a beat. When it was first heard of, and when it started as computed then, stays.
fn received(known: &[PeerPrefill], prefill: &Prefill, now: Duration) -> PeerPrefill {
    let found = known.binary_search_by_key(&prefill.number, |known| known.prefill.number);
    let age = Duration::from_millis(u64::from(prefill.age_ms));
    let (at, start) = match found {
        Ok(at) => (known[at].at, known[at].start),
        Err(_) => (now, now.saturating_sub(age)),
    };
    PeerPrefill {
        at,
        prefill: prefill.clone(),
        start,
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

fn load(loads: &mut Vec<(TargetKey, Load)>, target: TargetKey) -> &mut Load {
    let found = loads.binary_search_by_key(&target, |(target, _)| *target);
    let at = found.unwrap_or_else(|at| {
        loads.insert(at, (target, Load::default()));
        at
    });
    &mut loads[at].1
}

fn add(loads: &mut Vec<(TargetKey, Load)>, row: &Row) {
    let load = load(loads, row.target);
    load.short += row.short;
    load.running += row.running;
    load.tokens = load.tokens.saturating_add(row.tokens);
    if row.gap_ms > 0 {
        let gap = Duration::from_millis(u64::from(row.gap_ms));
        load.gap = Some(load.gap.map_or(gap, |known| known.min(gap)));
    }
}

/// Adds a prompt to what its targets were given to read.
fn queue(backlogs: &mut Vec<(TargetKey, Backlog)>, prefill: &Prefill, start: Duration) {
    let part = Duration::from_millis(u64::from(prefill.part_ms));
    for target in &prefill.targets {
        let found = backlogs.binary_search_by_key(target, |(target, _)| *target);
        let at = found.unwrap_or_else(|at| {
            backlogs.insert(at, (*target, Backlog::default()));
            at
        });
        backlogs[at]
            .1
            .add(start, part, prefill.background, prefill.finished);
    }
}
