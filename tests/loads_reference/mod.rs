//! Loads computed from scratch from all work that counts, as a reference for sums that are kept up to date.

use std::collections::BTreeMap;
use std::time::Duration;

use jujubehook::entry::permit::Update;
use jujubehook::entry::{Heartbeat, Load, Permit, Prefill, Row, TargetKey, Work};

const PEER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Work of all instances.
#[derive(Default)]
pub(crate) struct Reference {
    peers: BTreeMap<String, Peer>,
    permits: Vec<Permit>,
    /// Prompts of this instance and their starts.
    prefills: Vec<(Prefill, Duration)>,
    running: Vec<(u64, Work)>,
}

struct Peer {
    heard: Duration,
    incarnation: u64,
    prefills: Vec<(Prefill, Duration)>,
    rows: Vec<Row>,
    sequence: u64,
    updates: BTreeMap<u64, Update>,
}

impl Peer {
    fn rows(&self) -> Vec<Row> {
        let updates = self.updates.values();
        let newest: BTreeMap<TargetKey, Row> = updates.map(|u| (u.row.target, u.row)).collect();
        let rows = self.rows.iter();
        let mut all: Vec<Row> = rows
            .map(|row| *newest.get(&row.target).unwrap_or(row))
            .collect();
        let is_added = |added: &&Row| self.rows.iter().all(|row| row.target != added.target);
        all.extend(newest.values().filter(is_added));
        all
    }
}

fn add_unknown(prefills: &mut Vec<(Prefill, Duration)>, prefill: &Prefill, start: Duration) {
    if prefills
        .iter()
        .all(|(known, _)| known.number != prefill.number)
    {
        prefills.push((prefill.clone(), start));
    }
}

fn start_of(known: &[(Prefill, Duration)], prefill: &Prefill, now: Duration) -> Duration {
    let found = known
        .iter()
        .find(|(known, _)| known.number == prefill.number);
    let age = Duration::from_millis(prefill.age_ms.into());
    found.map_or(now.saturating_sub(age), |(_, start)| *start)
}

fn own_rows((_, work): &(u64, Work)) -> Vec<Row> {
    let helper = |(target, tokens): &(TargetKey, u32)| Row {
        target: *target,
        tokens: *tokens,
        ..Row::default()
    };
    let mut rows: Vec<Row> = work.helpers.iter().map(helper).collect();
    rows.push(Row {
        gap_ms: work.gap.as_millis() as u32,
        short: work.short.into(),
        running: 1,
        target: work.primary,
        tokens: work.tokens,
    });
    rows
}

fn permit_work(permit: &Permit) -> (Row, (Prefill, Duration)) {
    let row = Row {
        gap_ms: permit.gap.as_millis() as u32,
        short: 1,
        running: 1,
        target: permit.target,
        tokens: permit.tokens,
    };
    let prefill = Prefill {
        part_ms: permit.part_time.as_millis() as u32,
        targets: vec![permit.target],
        ..Prefill::default()
    };
    (row, (prefill, permit.start))
}

impl Reference {
    pub(crate) fn start(&mut self, number: u64, work: Work) {
        let helpers = work.helpers.iter().map(|(helper, _)| *helper);
        let prefill = Prefill {
            background: work.background,
            held: work.held,
            number,
            part_ms: work.part_time.as_millis() as u32,
            targets: helpers.chain([work.primary]).collect(),
            ..Prefill::default()
        };
        self.prefills.push((prefill, work.start));
        self.running.push((number, work));
    }

    pub(crate) fn finish_prefill(&mut self, number: u64) {
        let prefills = self.prefills.iter_mut();
        let found = prefills.filter(|(prefill, _)| prefill.number == number);
        found.for_each(|(prefill, _)| prefill.finished = true);
    }

    pub(crate) fn finish(&mut self, number: u64) {
        self.running.retain(|(known, _)| *known != number);
        let is_left = |prefill: &Prefill| prefill.number != number || prefill.finished;
        self.prefills.retain(|(prefill, _)| is_left(prefill));
    }

    pub(crate) fn grant(&mut self, permit: Permit) {
        self.permits.push(permit);
    }

    pub(crate) fn end_permit(&mut self, number: u64) -> bool {
        let before = self.permits.len();
        self.permits.retain(|permit| permit.number != number);
        self.permits.len() < before
    }

    pub(crate) fn receive(&mut self, heartbeat: &Heartbeat, now: Duration) -> bool {
        let before = self.peers.remove(&heartbeat.instance);
        let before = match before {
            Some(peer) if peer.incarnation != heartbeat.incarnation => None,
            Some(peer) if peer.sequence >= heartbeat.sequence => {
                self.peers.insert(heartbeat.instance.clone(), peer);
                return false;
            }
            before => before,
        };
        let (known, mut updates) =
            before.map_or_else(Default::default, |peer| (peer.prefills, peer.updates));
        updates.retain(|sequence, _| *sequence > heartbeat.sequence);
        let mut prefills = Vec::new();
        let reported = updates
            .values()
            .filter_map(|update| update.prefill.as_ref());
        for prefill in heartbeat.prefills.iter().chain(reported) {
            add_unknown(&mut prefills, prefill, start_of(&known, prefill, now));
        }
        let peer = Peer {
            heard: now,
            incarnation: heartbeat.incarnation,
            prefills,
            rows: heartbeat.rows.clone(),
            sequence: heartbeat.sequence,
            updates,
        };
        self.peers.insert(heartbeat.instance.clone(), peer);
        true
    }

    pub(crate) fn update(
        &mut self,
        instance: &str,
        incarnation: u64,
        update: &Update,
        now: Duration,
    ) {
        let Some(peer) = self.peers.get_mut(instance) else {
            return;
        };
        if peer.incarnation != incarnation {
            return;
        }
        if update.sequence > peer.sequence && !peer.updates.contains_key(&update.sequence) {
            if let Some(prefill) = &update.prefill {
                add_unknown(&mut peer.prefills, prefill, start_of(&[], prefill, now));
            }
            peer.updates.insert(update.sequence, update.clone());
        }
        self.end_permit(update.permit);
    }

    pub(crate) fn expire(&mut self, now: Duration) {
        self.permits.retain(|permit| now < permit.expires);
        self.peers.retain(|_, peer| now < peer.heard + PEER_TIMEOUT);
        let retention = |prefill: &Prefill| match prefill.part_ms {
            0..=60 => Duration::from_millis(400),
            _ => Duration::from_secs(3),
        };
        self.prefills
            .retain(|(prefill, start)| !prefill.finished || now < *start + retention(prefill));
    }

    pub(crate) fn loads(&self, except: Option<u64>, now: Duration) -> Vec<(TargetKey, Load)> {
        let running = self.running.iter().filter(|(_, work)| !work.held);
        let mut rows: Vec<Row> = running.flat_map(own_rows).collect();
        let own = self.prefills.iter();
        let mut prefills: Vec<(Prefill, Duration)> = own
            .filter(|(prefill, _)| Some(prefill.number) != except)
            .cloned()
            .collect();
        let is_live = |peer: &&Peer| now < peer.heard + PEER_TIMEOUT;
        for peer in self.peers.values().filter(is_live) {
            rows.extend(peer.rows());
            prefills.extend(peer.prefills.iter().cloned());
        }
        let permits = self.permits.iter().filter(|permit| now < permit.expires);
        for (row, prefill) in permits.map(permit_work) {
            rows.push(row);
            prefills.push(prefill);
        }
        sum(&rows, &prefills, now)
    }
}

/// Start of a part, or of its wait if it is held, and its prompt.
type Part<'a> = (Duration, &'a Prefill);

fn sum(rows: &[Row], prefills: &[(Prefill, Duration)], now: Duration) -> Vec<(TargetKey, Load)> {
    let mut sums: BTreeMap<TargetKey, (Load, Vec<Part<'_>>)> = BTreeMap::new();
    for row in rows {
        let (load, _) = sums.entry(row.target).or_default();
        load.running = load.running.saturating_add(row.running);
        load.short = load.short.saturating_add(row.short);
        load.tokens = load.tokens.saturating_add(row.tokens);
        let gap = Some(Duration::from_millis(row.gap_ms.into()));
        let gaps = [load.gap, gap.filter(|gap| !gap.is_zero())];
        load.gap = gaps.into_iter().flatten().min();
    }
    for (prefill, start) in prefills {
        let start = if prefill.held { now } else { *start };
        for target in &prefill.targets {
            let (load, parts) = sums.entry(*target).or_default();
            load.held |= prefill.held;
            parts.push((start, prefill));
        }
    }
    let loads = sums.into_iter().map(|(target, (mut load, mut parts))| {
        parts.sort_by_key(|(start, _)| *start);
        let all = remaining(&parts, now);
        parts.retain(|(_, prefill)| !prefill.background);
        load.backlog = remaining(&parts, now);
        load.background = all.saturating_sub(load.backlog);
        (target, load)
    });
    loads.collect()
}

/// Prefill time that an engine still needs for parts, which it processes one at a time.
fn remaining(parts: &[Part<'_>], now: Duration) -> Duration {
    let time = |prefill: &Prefill| Duration::from_millis(prefill.part_ms.into());
    let (mut left, mut last) = (Duration::ZERO, Duration::ZERO);
    for (start, prefill) in parts {
        left = left.saturating_sub(start.saturating_sub(last)) + time(prefill);
        last = *start;
    }
    let unfinished = parts.iter().filter(|(_, prefill)| !prefill.finished);
    let unfinished: Duration = unfinished.map(|(_, prefill)| time(prefill)).sum();
    let left = left.saturating_sub(now.saturating_sub(last));
    left.clamp(unfinished.mul_f64(0.1), unfinished)
}
