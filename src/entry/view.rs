use std::time::Duration;

use super::admission::{is_waiting, Waiting, Waitlist};
use super::permit::Update;
use super::{Backlog, Heartbeat, Load, Prefill, Row, TargetKey};
use crate::id::{Incarnation, InstanceId};

/// Time without a heartbeat after which an instance's work is dropped: several heartbeats at the lowest rate were lost,
/// so the instance is gone or unreachable.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time for which a long prompt is remembered even if its prefill is finished, because its parts delayed others at the
/// same engines. Counts from the choice of its targets and covers the longest objective for a first event.
const PREFILL_RETENTION: Duration = Duration::from_secs(3);

/// The same for a prompt with short parts, which delay others little. Keeps heartbeats small.
const SHORT_PART_RETENTION: Duration = Duration::from_millis(400);

/// Maximum prefill time of a short part.
const SHORT_PART: Duration = Duration::from_millis(60);

/// Time without a heartbeat after which an instance's waiting prompts are not counted: two heartbeats at the lowest rate
/// were lost. A cut between domains must not leave prompts of the other side ahead of those of this one.
const WAITING_TIMEOUT: Duration = Duration::from_secs(1);

/// A request of this instance and the engines that were chosen for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// Whether newer work may be processed first, because the request misses its objective in any case.
    pub background: bool,
    /// Largest gap between events that it tolerates; zero without a stream.
    pub gap: Duration,
    /// Other targets that process a part of the prompt, and the tokens of context that each one stores.
    pub helpers: Vec<(TargetKey, u32)>,
    /// Prefill time of each part.
    pub part_time: Duration,
    /// Target that gets the request.
    pub primary: TargetKey,
    /// Random tie-breaker: if two instances choose the same targets at the same time, the lower rank is sent.
    pub rank: u32,
    /// Whether its prompt is short.
    pub short: bool,
    /// Whether its targets are held until earlier work there has ended, and get nothing yet.
    pub held: bool,
    /// Time at which its targets were chosen.
    pub start: Duration,
    /// Tokens of context at the primary target.
    pub tokens: u32,
}

impl Work {
    /// Whether its end frees a slot for another request with a short prompt: only the ends of such requests tell the rate
    /// at which they can be served.
    pub fn frees_slot(&self) -> bool {
        self.short
    }
}

/// A slot that this instance granted and whose use is not confirmed yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Permit {
    /// Time at which it expires without a confirmation.
    pub expires: Duration,
    /// Largest gap between events that the request tolerates.
    pub gap: Duration,
    /// Number; unique at this instance.
    pub number: u64,
    /// Prefill time of the prompt.
    pub part_time: Duration,
    /// Time at which it was granted.
    pub start: Duration,
    /// The target.
    pub target: TargetKey,
    /// Tokens of context.
    pub tokens: u32,
}

/// Work of all instances at the targets, as far as this one knows.
#[derive(Clone, Debug, Default)]
pub struct View {
    last_number: u64,
    /// Slots that this instance granted and whose use is not confirmed yet.
    permits: Vec<Permit>,
    /// This instance's requests, sorted by number.
    own: Vec<OwnRequest>,
    /// Sorted by instance.
    peers: Vec<Peer>,
    /// This instance's prompts in prefill or recently prefilled, sorted by number.
    prefills: Vec<OwnPrefill>,
    /// This instance's long prompts without a placement.
    waiting: Waitlist,
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
    /// The prompt as in a heartbeat that is sent now.
    fn aged(&self, now: Duration) -> Prefill {
        Prefill {
            age_ms: millis(now.saturating_sub(self.start)),
            ..self.prefill.clone()
        }
    }

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
    prefill: Prefill,
    /// Time at which it was first reported.
    reported: Duration,
    start: Duration,
}

#[derive(Clone, Debug)]
struct Peer {
    incarnation: Incarnation,
    instance: InstanceId,
    last_heartbeat: Duration,
    prefills: Vec<PeerPrefill>,
    rows: Vec<Row>,
    sequence: u64,
    /// Changes of single rows that are newer than the last heartbeat, in order of their sequence.
    updates: Vec<Update>,
}

impl Peer {
    /// Its work at each target.
    fn current_rows(&self) -> impl Iterator<Item = &Row> {
        let newest = |row: &Row| {
            let updates = self.updates.iter().rev();
            updates
                .map(|update| &update.row)
                .find(|updated| updated.target == row.target)
        };
        let known = |target| self.rows.iter().any(|row| row.target == target);
        let added = self.updates.iter().enumerate().filter(move |(at, update)| {
            let later = &self.updates[at + 1..];
            let is_newest = later
                .iter()
                .all(|later| later.row.target != update.row.target);
            is_newest && !known(update.row.target)
        });
        let rows = self.rows.iter().map(move |row| newest(row).unwrap_or(row));
        rows.chain(added.map(|(_, update)| &update.row))
    }
}

impl Permit {
    /// Its load as that of one request.
    fn row(&self) -> Row {
        Row {
            gap_ms: millis(self.gap),
            short: 1,
            running: 1,
            target: self.target,
            tokens: self.tokens,
        }
    }
}

impl View {
    /// Adds a request of this instance; returns its number.
    pub fn start(&mut self, work: Work) -> u64 {
        self.last_number += 1;
        let helpers = work.helpers.iter().map(|(helper, _)| *helper);
        self.prefills.push(OwnPrefill {
            prefill: Prefill {
                age_ms: 0,
                background: work.background,
                number: self.last_number,
                part_ms: millis(work.part_time),
                rank: work.rank,
                finished: false,
                held: work.held,
                targets: std::iter::once(work.primary).chain(helpers).collect(),
            },
            start: work.start,
        });
        self.own.push(OwnRequest {
            number: self.last_number,
            work,
        });
        self.last_number
    }

    /// Records that the prefill of a request is finished.
    pub fn finish_prefill(&mut self, number: u64) {
        if let Ok(at) = self.prefill(number) {
            self.prefills[at].prefill.finished = true;
        }
    }

    /// Removes a request; returns its work, if the request was still there and not only held.
    pub fn finish(&mut self, number: u64) -> Option<Work> {
        let found = self
            .own
            .binary_search_by_key(&number, |request| request.number);
        let removed = found.ok().map(|at| self.own.remove(at).work);
        match self.prefill(number) {
            // The end of the request also ended its prefill.
            Ok(at) if !self.prefills[at].prefill.finished => {
                self.prefills.remove(at);
            }
            Ok(_) | Err(_) => {}
        }
        removed.filter(|work| !work.held)
    }

    /// Work of this instance at one target, and the prompt of the request `number`, for an update.
    pub fn own_work(
        &self,
        target: TargetKey,
        number: Option<u64>,
        now: Duration,
    ) -> (Row, Option<Prefill>) {
        let mut rows = self.rows();
        let row = *row(&mut rows, target);
        let found = number.and_then(|number| self.prefill(number).ok());
        (row, found.map(|at| self.prefills[at].aged(now)))
    }

    /// Adds a slot that was granted to a request of any instance.
    pub fn grant(&mut self, permit: Permit) {
        self.permits.push(permit);
    }

    /// Removes a granted slot whose use is confirmed, or that is not used.
    pub fn end_permit(&mut self, number: u64) -> bool {
        let before = self.permits.len();
        self.permits.retain(|permit| permit.number != number);
        self.permits.len() < before
    }

    /// Applies the change of another instance's work at one target, and ends the permit that it names. Ignored if the
    /// instance is not known by a heartbeat, whose work is not counted then. The work is that of a later heartbeat or
    /// update if one was applied before.
    pub fn update(
        &mut self,
        instance: &str,
        incarnation: Incarnation,
        update: &Update,
        now: Duration,
    ) {
        let found = self
            .peers
            .binary_search_by(|known| known.instance.as_str().cmp(instance));
        let Some(peer) = found.ok().map(|at| &mut self.peers[at]) else {
            return;
        };
        if peer.incarnation != incarnation {
            return;
        }
        let sequence = |update: &Update| update.sequence;
        let found = peer
            .updates
            .binary_search_by_key(&update.sequence, sequence);
        if let (Err(at), true) = (found, update.sequence > peer.sequence) {
            if let Some(prefill) = &update.prefill {
                insert_prefill(&mut peer.prefills, track(&[], prefill, now));
            }
            peer.updates.insert(at, update.clone());
        }
        self.end_permit(update.permit);
    }

    /// Adds a waiting prompt of this instance; returns its number.
    pub fn start_waiting(&mut self, waiting: Waiting) -> u64 {
        self.last_number += 1;
        self.waiting.add(self.last_number, waiting);
        self.last_number
    }

    /// Removes a waiting prompt.
    pub fn finish_waiting(&mut self, number: u64) {
        self.waiting.remove(number);
    }

    /// Prefill time, on one engine, of the prompts of all instances that have waited for the same service since before
    /// a prompt of this instance.
    pub fn waiting_ahead(&self, number: u64, now: Duration) -> Duration {
        let Some(own) = self.waiting.get(number) else {
            return Duration::ZERO;
        };
        let is_heard = |peer: &&Peer| now < peer.last_heartbeat + WAITING_TIMEOUT;
        let peers = self.peers.iter().filter(is_heard);
        let prefills = peers.flat_map(|peer| &peer.prefills);
        let others = prefills.filter(|other| is_waiting(&other.prefill));
        let others = others.map(|other| Waiting::new(&other.prefill, other.start));
        others
            .chain(self.waiting.all())
            .filter(|other| other.precedes(&own))
            .fold(Duration::ZERO, |sum, other| {
                sum.saturating_add(other.prefill_time)
            })
    }

    fn prefill(&self, number: u64) -> Result<usize, usize> {
        self.prefills
            .binary_search_by_key(&number, |own| own.prefill.number)
    }

    /// Applies a heartbeat of another instance; false if a newer one of the same process was applied before.
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
        let mut prefills: Vec<PeerPrefill> =
            prefills.map(|prefill| track(known, prefill, now)).collect();
        let updates: Vec<Update> = before.map_or(Vec::new(), |known| {
            let updates = known.updates.iter();
            let is_newer = |update: &&Update| update.sequence > heartbeat.sequence;
            updates.filter(is_newer).cloned().collect()
        });
        for prefill in updates.iter().filter_map(|update| update.prefill.as_ref()) {
            insert_prefill(&mut prefills, track(known, prefill, now));
        }
        let peer = Peer {
            incarnation: heartbeat.incarnation,
            instance: heartbeat.instance.clone(),
            last_heartbeat: now,
            prefills,
            rows: heartbeat.rows.clone(),
            sequence: heartbeat.sequence,
            updates,
        };
        match found {
            Ok(at) => self.peers[at] = peer,
            Err(at) => self.peers.insert(at, peer),
        }
        true
    }

    /// Whether a request has to be withdrawn in favor of another instance's, for which some of the same targets were
    /// chosen before either instance knew of the other choice. `window` is the time within which choices become known.
    /// Both instances decide alike: the choice with the lower rank stands. A choice that is older by more than the
    /// window stands in any case, since its instance did not know of this one.
    pub fn gives_way(&self, number: u64, window: Duration) -> bool {
        let Ok(at) = self.prefill(number) else {
            return false;
        };
        let own = &self.prefills[at];
        let conflicts = |other: &&PeerPrefill| {
            let targets = &other.prefill.targets;
            let shares = |target| targets.contains(target);
            !other.prefill.finished
                // Work that is already sent to a held target only has to end first.
                && (other.prefill.held || !own.prefill.held)
                && (own.prefill.background || !other.prefill.background)
                && other.reported > own.start
                && own.prefill.targets.iter().any(shares)
        };
        let wins = |other: &PeerPrefill| {
            if other.start + window < own.start {
                return true;
            }
            other.start <= own.start + window && other.prefill.rank < own.prefill.rank
        };
        let others = self.peers.iter().flat_map(|peer| &peer.prefills);
        others.filter(conflicts).any(wins)
    }

    /// Removes instances without recent heartbeats, and prompts that were prefilled long ago.
    pub fn expire(&mut self, now: Duration) {
        self.permits.retain(|permit| now < permit.expires);
        self.prefills
            .retain(|own| !own.prefill.finished || now < own.start + own.retention());
        self.peers
            .retain(|peer| now < peer.last_heartbeat + PEER_TIMEOUT);
    }

    /// Number of this instance's requests at targets.
    pub fn request_count(&self) -> usize {
        self.own.len()
    }

    /// Running requests of this instance by target, sorted by target.
    pub fn rows(&self) -> Vec<Row> {
        let mut rows: Vec<Row> = Vec::new();
        for request in self.own.iter().filter(|request| !request.work.held) {
            let work = &request.work;
            let row = row(&mut rows, work.primary);
            row.running += 1;
            row.short += u32::from(work.short);
            row.tokens = row.tokens.saturating_add(work.tokens);
            let gap = millis(work.gap);
            if gap > 0 && (row.gap_ms == 0 || gap < row.gap_ms) {
                row.gap_ms = gap;
            }
            for (helper, tokens) in &work.helpers {
                let row = self::row(&mut rows, *helper);
                row.tokens = row.tokens.saturating_add(*tokens);
            }
        }
        rows
    }

    /// This instance's prompts in prefill or recently prefilled, and those that wait, sorted by number.
    pub fn prefills(&self, now: Duration) -> Vec<Prefill> {
        let mut prefills: Vec<Prefill> = self.prefills.iter().map(|own| own.aged(now)).collect();
        prefills.extend(self.waiting.announced(now));
        // Receivers search by number.
        prefills.sort_unstable_by_key(|prefill| prefill.number);
        prefills
    }

    /// Load of each target from all instances, sorted by target.
    pub fn loads(&self, now: Duration) -> Vec<(TargetKey, Load)> {
        self.loads_without(None, now)
    }

    /// Load of each target from all requests but one of this instance, sorted by target.
    pub fn loads_without(&self, number: Option<u64>, now: Duration) -> Vec<(TargetKey, Load)> {
        let mut loads: Vec<(TargetKey, Load)> = Vec::new();
        let mut backlogs: Vec<(TargetKey, Backlog)> = Vec::new();
        for row in self.rows() {
            add_row(&mut loads, &row);
        }
        let is_counted = |own: &&OwnPrefill| Some(own.prefill.number) != number;
        for own in self.prefills.iter().filter(is_counted) {
            add_prefill(&mut loads, &mut backlogs, &own.prefill, own.start, now);
        }
        for peer in self
            .peers
            .iter()
            .filter(|peer| now < peer.last_heartbeat + PEER_TIMEOUT)
        {
            for row in peer.current_rows() {
                add_row(&mut loads, row);
            }
            for prefill in &peer.prefills {
                add_prefill(
                    &mut loads,
                    &mut backlogs,
                    &prefill.prefill,
                    prefill.start,
                    now,
                );
            }
        }
        for permit in self.permits.iter().filter(|permit| now < permit.expires) {
            add_row(&mut loads, &permit.row());
            let backlog = backlog(&mut backlogs, permit.target);
            backlog.add(permit.start, permit.part_time, false, false);
        }
        for (target, backlog) in backlogs {
            let load = load(&mut loads, target);
            load.backlog = backlog.ahead(now);
            load.background = backlog.background(now);
        }
        loads
    }
}

/// Converts a prompt from a heartbeat. The start is computed when the prompt is first reported and does not change
/// after that.
fn track(known: &[PeerPrefill], prefill: &Prefill, now: Duration) -> PeerPrefill {
    let found = known.binary_search_by_key(&prefill.number, |known| known.prefill.number);
    let age = Duration::from_millis(u64::from(prefill.age_ms));
    let (reported, start) = match found {
        Ok(at) => (known[at].reported, known[at].start),
        Err(_) => (now, now.saturating_sub(age)),
    };
    PeerPrefill {
        prefill: prefill.clone(),
        reported,
        start,
    }
}

/// Adds a prompt unless it is known.
fn insert_prefill(prefills: &mut Vec<PeerPrefill>, prefill: PeerPrefill) {
    let number = prefill.prefill.number;
    let found = prefills.binary_search_by_key(&number, |known| known.prefill.number);
    if let Err(at) = found {
        prefills.insert(at, prefill);
    }
}

/// Milliseconds as in a heartbeat; times beyond 49 days count as that long.
pub(super) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
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

fn add_row(loads: &mut Vec<(TargetKey, Load)>, row: &Row) {
    let load = load(loads, row.target);
    load.short = load.short.saturating_add(row.short);
    load.running = load.running.saturating_add(row.running);
    load.tokens = load.tokens.saturating_add(row.tokens);
    if row.gap_ms > 0 {
        let gap = Duration::from_millis(u64::from(row.gap_ms));
        load.gap = Some(load.gap.map_or(gap, |known| known.min(gap)));
    }
}

/// Adds the parts of a prompt to the backlogs of its targets, and marks the targets that are held for it.
fn add_prefill(
    loads: &mut Vec<(TargetKey, Load)>,
    backlogs: &mut Vec<(TargetKey, Backlog)>,
    prefill: &Prefill,
    start: Duration,
    now: Duration,
) {
    // Parts that are not sent yet stay as long as they are.
    let start = if prefill.held { now } else { start };
    let part = Duration::from_millis(u64::from(prefill.part_ms));
    for target in &prefill.targets {
        if prefill.held {
            load(loads, *target).held = true;
        }
        let backlog = backlog(backlogs, *target);
        backlog.add(start, part, prefill.background, prefill.finished);
    }
}

fn backlog(backlogs: &mut Vec<(TargetKey, Backlog)>, target: TargetKey) -> &mut Backlog {
    let found = backlogs.binary_search_by_key(&target, |(target, _)| *target);
    let at = found.unwrap_or_else(|at| {
        backlogs.insert(at, (target, Backlog::default()));
        at
    });
    &mut backlogs[at].1
}
