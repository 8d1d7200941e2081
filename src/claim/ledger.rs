use crate::error::{Error, Kind};
use crate::id::{Incarnation, InstanceId, Offset};

use super::entry;
use super::slot::{Attempt, Claim, Id, Settled, Slot, State};
use super::{Entry, Guards, Key, Note, Outcome, Settings, Step};

/// Interval at which keys past their retention are removed, in milliseconds.
const SWEEP_MS: u64 = 1_000;

/// The claims of one log stream as one instance knows them. Times are Unix milliseconds. When the clock steps back, the
/// highest time so far is kept, so that an expired claim or key does not become valid again.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Ledger {
    /// Total size of the outcome bodies.
    body_bytes: usize,
    /// Claims appended up to this time may be missing, because the log no longer held them.
    horizon: u64,
    incarnation: Incarnation,
    last_sweep: u64,
    me: InstanceId,
    now: u64,
    offset: Offset,
    settings: Settings,
    /// Sorted by key.
    slots: Vec<Slot>,
}

impl Ledger {
    /// Creates an empty ledger, which has read nothing of its stream.
    pub fn new(me: InstanceId, incarnation: Incarnation, settings: Settings) -> Ledger {
        Ledger {
            body_bytes: 0,
            horizon: 0,
            incarnation,
            last_sweep: 0,
            me,
            now: 0,
            offset: 0,
            settings,
            slots: Vec::new(),
        }
    }

    /// Applies one entry read from the log. Entries of one group commit have the same offset. Lower offsets are
    /// ignored; a gap counts as entries removed by the log's retention.
    pub fn apply(&mut self, offset: Offset, entry: &Entry, now: u64) {
        self.advance(now);
        if offset < self.offset {
            return;
        }
        self.truncate(offset, now);
        self.offset = offset;
        let Ok(key) = Key::parse_scoped(&entry.key) else {
            return;
        };
        let position = self.find(&entry.key);
        let index = match position {
            Ok(index) => index,
            Err(_) if self.is_past_retention(key.created_ms()) => return,
            Err(index) => {
                self.slots
                    .insert(index, Slot::new(entry.key.clone(), key.created_ms()));
                index
            }
        };
        match &entry.note {
            Note::Claim => self.claim(index, entry),
            Note::Outcome(outcome) => {
                self.settle(index, &Id::of(entry), Settled::Outcome(outcome.clone()))
            }
            Note::Unknown => self.settle(index, &Id::of(entry), Settled::Unknown),
            Note::Unsent => self.release(index, Id::of(entry)),
        }
    }

    /// Starts a call with a scoped key.
    pub fn begin(&mut self, key: &str, nonce: u64, now: u64) -> Step {
        self.advance(now);
        let parsed = match Key::parse_scoped(key) {
            Ok(parsed) => parsed,
            Err(error) => return Step::Refuse { kind: error.kind() },
        };
        let position = self.find(key);
        if let Ok(index) = position {
            if self.slots[index].winner.is_some() || self.is_attempt_open(index) {
                return self.poll(key, nonce, now);
            }
        }
        if let Err(kind) = self.admit(&parsed, position.is_err()) {
            return Step::Refuse { kind };
        }
        let index = position.unwrap_or_else(|index| {
            self.slots
                .insert(index, Slot::new(key.into(), parsed.created_ms()));
            index
        });
        // Not after the key's own expiry, so that no claim is dispatched after the key was refused as expired.
        let end = match self.guards().lifetime {
            true => parsed
                .created_ms()
                .saturating_add(self.settings.lifetime_ms),
            false => u64::MAX,
        };
        let expiry = end.min(self.now + self.settings.validity_ms);
        self.slots[index].attempt = Some(Attempt {
            expiry,
            nonce,
            read_back: false,
            state: State::Claimed,
        });
        Step::Append {
            entry: self.entry(key, nonce, expiry, Note::Claim),
        }
    }

    /// Checks, just before the first byte is written to the service, whether the call may run. Bytes may be written
    /// only after [`Step::Dispatch`].
    pub fn dispatch(&mut self, key: &str, nonce: u64, now: u64) -> Step {
        self.advance(now);
        let once = self.guards().once;
        let Some(index) = self
            .find(key)
            .ok()
            .filter(|index| self.may_dispatch(*index, nonce))
        else {
            return self.step_instead_of_dispatch(key, nonce);
        };
        if let Some(attempt) = self.slots[index].attempt_mut(nonce) {
            if attempt.state == State::Claimed || !once {
                attempt.state = State::Sent;
                return Step::Dispatch;
            }
        }
        Step::Refuse {
            kind: Kind::OutcomeUnknown,
        }
    }

    /// Whether another call with the key may be running or may have run. If so, a call that gives up must not report
    /// that nothing was run with the key.
    pub fn is_contested(&self, key: &str, nonce: u64) -> bool {
        let Ok(index) = self.find(key) else {
            return false;
        };
        let slot = &self.slots[index];
        let held = slot.winner.as_ref();
        let other = held.is_some_and(|winner| winner.id != self.id(nonce));
        other || (slot.attempt(nonce).is_none() && self.is_attempt_open(index))
    }

    /// Records that it is unknown whether the append took effect. The claim is kept until it is read back or expires;
    /// the same entry may be appended again.
    pub fn append_unconfirmed(&mut self, key: &str, nonce: u64, now: u64) -> Step {
        self.advance(now);
        self.poll(key, nonce, now)
    }

    /// Records that the append of the claim certainly failed. The attempt is over and was not run.
    pub fn append_failed(&mut self, key: &str, nonce: u64) -> Step {
        if let Ok(index) = self.find(key) {
            if let Some(attempt) = self.slots[index].attempt_mut(nonce) {
                if attempt.state == State::Claimed {
                    attempt.state = State::Unsent;
                }
            }
        }
        self.poll(key, nonce, self.now)
    }

    /// Records the outcome of a dispatched call; `None` if it is not known. Returns the entry to append.
    ///
    /// An outcome whose body exceeds the limit is recorded as "outcome unknown" for repeats.
    pub fn finish(&mut self, key: &str, nonce: u64, outcome: Option<Outcome>) -> Option<Entry> {
        let index = self.find(key).ok()?;
        let attempt = self.slots[index]
            .attempt_mut(nonce)
            .filter(|attempt| attempt.state == State::Sent)?;
        attempt.state = State::Finished;
        let expiry = attempt.expiry;
        let limit = self.settings.max_body_bytes;
        let note = match outcome.filter(|outcome| outcome.body.len() <= limit) {
            Some(outcome) => Note::Outcome(outcome),
            None => Note::Unknown,
        };
        let settled = match &note {
            Note::Outcome(outcome) => Settled::Outcome(outcome.clone()),
            Note::Claim | Note::Unknown | Note::Unsent => Settled::Unknown,
        };
        self.settle(index, &self.id(nonce), settled);
        Some(self.entry(key, nonce, expiry, note))
    }

    /// Offset of the last log entry applied.
    pub fn offset(&self) -> Offset {
        self.offset
    }

    /// Returns the next step of a call. `Unavailable` means that its claim was not in force in time.
    pub fn poll(&self, key: &str, nonce: u64, now: u64) -> Step {
        let now = self.now.max(now);
        let ready = self.find(key).is_ok_and(|index| {
            let attempt = self.slots[index].attempt(nonce);
            self.may_dispatch_at(index, nonce, now)
                && attempt.is_some_and(|attempt| attempt.state == State::Claimed)
        });
        if ready {
            return Step::Dispatch;
        }
        self.step_without_dispatch(key, nonce, now)
    }

    /// Applies one log entry as read from the stream.
    ///
    /// # Errors
    /// `BadRequest` if the body is not of this or an older build. The entry then counts as removed by the log's
    /// retention, since it may contain claims.
    pub fn read(&mut self, offset: Offset, body: &str, now: u64) -> Result<(), Error> {
        if offset <= self.offset {
            return Ok(());
        }
        match entry::decode(body) {
            Ok(entries) => {
                self.truncate(offset, now);
                self.offset = offset;
                entries
                    .iter()
                    .for_each(|entry| self.apply(offset, entry, now));
                Ok(())
            }
            Err(error) => {
                self.truncate(offset + 1, now);
                Err(error)
            }
        }
    }

    /// Records that the stream now starts at `first`. Entries below it that were not read are lost: calls with keys
    /// that they may have claimed are answered "outcome unknown". Pending claims become void, since an earlier claim
    /// may be among the lost entries.
    pub fn truncate(&mut self, first: Offset, now: u64) {
        self.advance(now);
        if first <= self.offset + 1 {
            return;
        }
        self.offset = first - 1;
        if !self.guards().horizon {
            return;
        }
        self.horizon = self
            .horizon
            .max(self.now.saturating_sub(self.settings.retention_ms));
        for slot in self.slots.iter_mut().filter(|slot| slot.winner.is_none()) {
            if let Some(attempt) = &mut slot.attempt {
                attempt.state = State::Unsent;
            }
        }
    }

    /// Records that no byte of the call was or will be written. Returns the entry to append, which lets the next claim
    /// of the key run. To be called whenever a call is refused whose claim was or may have been appended.
    pub fn mark_unsent(&mut self, key: &str, nonce: u64) -> Option<Entry> {
        let index = self.find(key).ok()?;
        let attempt = self.slots[index]
            .attempt_mut(nonce)
            .filter(|attempt| attempt.state != State::Finished)?;
        attempt.state = State::Unsent;
        let expiry = attempt.expiry;
        Some(self.entry(key, nonce, expiry, Note::Unsent))
    }

    /// Whether a new claim of the key may be appended.
    fn admit(&self, key: &Key, new: bool) -> Result<(), Kind> {
        if self.guards().lifetime {
            key.check(&self.settings, self.now)
                .map_err(|error| error.kind())?;
        }
        // The earliest time at which an instance whose clock is ahead can have claimed the key.
        let earliest = key
            .created_ms()
            .saturating_sub(self.settings.max_future_ms + self.settings.clock_skew_ms);
        if self.horizon > 0 && earliest <= self.horizon {
            return Err(Kind::OutcomeUnknown);
        }
        if new && self.slots.len() >= self.settings.max_keys {
            return Err(Kind::Overloaded);
        }
        Ok(())
    }

    fn advance(&mut self, now: u64) {
        self.now = self.now.max(now);
        if self.now < self.last_sweep + SWEEP_MS {
            return;
        }
        self.last_sweep = self.now;
        let kept = self
            .now
            .saturating_sub(self.settings.lifetime_ms + self.settings.clock_skew_ms);
        self.slots.retain(|slot| slot.created_ms >= kept);
        self.body_bytes = self.slots.iter().map(Slot::body_bytes).sum();
    }

    /// Whether an attempt of this process is running or may still run.
    fn is_attempt_open(&self, index: usize) -> bool {
        self.slots[index]
            .attempt
            .as_ref()
            .is_some_and(|attempt| match attempt.state {
                State::Claimed => self.now < attempt.expiry,
                State::Sent => true,
                State::Finished | State::Unsent => false,
            })
    }

    fn claim(&mut self, index: usize, entry: &Entry) {
        let id = Id::of(entry);
        let own = id == self.id(entry.nonce);
        let slot = &mut self.slots[index];
        if slot.void_attempts.contains(&id) {
            return;
        }
        if own {
            if let Some(attempt) = slot.attempt_mut(entry.nonce) {
                attempt.read_back = true;
            }
        }
        if slot.winner.is_none() {
            slot.winner = Some(Claim {
                expiry: entry.expiry,
                id,
            });
        }
    }

    fn entry(&self, key: &str, nonce: u64, expiry: u64, note: Note) -> Entry {
        let Id {
            claimer,
            incarnation,
            nonce,
        } = self.id(nonce);
        Entry {
            claimer,
            expiry,
            incarnation,
            key: key.into(),
            nonce,
            note,
        }
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.slots
            .binary_search_by(|slot| slot.key.as_str().cmp(key))
    }

    /// Whether a key of this time is past its lifetime plus the clock skew, so that it is no longer kept.
    fn is_past_retention(&self, created_ms: u64) -> bool {
        created_ms
            < self
                .now
                .saturating_sub(self.settings.lifetime_ms + self.settings.clock_skew_ms)
    }

    fn release(&mut self, index: usize, id: Id) {
        let owner = self.guards().owner;
        let slot = &mut self.slots[index];
        if (slot.is_held_by(&id) || !owner) && slot.settled.is_none() {
            slot.winner = None;
        }
        slot.mark_void(id);
    }

    fn guards(&self) -> Guards {
        self.settings.guards
    }

    fn id(&self, nonce: u64) -> Id {
        Id {
            claimer: self.me.clone(),
            incarnation: self.incarnation,
            nonce,
        }
    }

    fn may_dispatch(&self, index: usize, nonce: u64) -> bool {
        self.may_dispatch_at(index, nonce, self.now)
    }

    /// Whether the attempt holds the key and its claim has not expired.
    fn may_dispatch_at(&self, index: usize, nonce: u64, now: u64) -> bool {
        let slot = &self.slots[index];
        let Some(attempt) = slot.attempt(nonce) else {
            return false;
        };
        let guards = self.guards();
        let held = if !guards.readback {
            true
        } else if !guards.first {
            attempt.read_back
        } else {
            slot.is_held_by(&self.id(nonce))
        };
        let live = now < attempt.expiry || !guards.expiry;
        let open = matches!(attempt.state, State::Claimed | State::Sent);
        held && live && open && slot.settled.is_none()
    }

    fn step_instead_of_dispatch(&self, key: &str, nonce: u64) -> Step {
        match self.step_without_dispatch(key, nonce, self.now) {
            // The caller of `dispatch` is about to write, which it must not do without holding the key. Nothing was
            // written, so the refusal may say that the call was not run.
            Step::Wait => Step::Refuse {
                kind: Kind::Unavailable,
            },
            step => step,
        }
    }

    fn settle(&mut self, index: usize, id: &Id, settled: Settled) {
        let owner = self.guards().owner;
        let slot = &mut self.slots[index];
        if slot.settled.is_some() || (owner && !slot.is_held_by(id)) {
            return;
        }
        slot.settled = Some(settled);
        self.body_bytes += slot.body_bytes();
        self.evict_bodies(index);
    }

    /// Drops outcome bodies, oldest keys first, until the total is within the limit; the body of `kept` is kept.
    fn evict_bodies(&mut self, kept: usize) {
        while self.body_bytes > self.settings.max_total_body_bytes {
            let held = self
                .slots
                .iter()
                .enumerate()
                .filter(|(index, slot)| *index != kept && slot.body_bytes() > 0);
            let Some((index, _)) = held.min_by_key(|(_, slot)| slot.created_ms) else {
                return;
            };
            self.body_bytes -= self.slots[index].body_bytes();
            self.slots[index].settled = Some(Settled::Unknown);
        }
    }

    /// Whether the claim in force belongs to this process and will never be dispatched.
    fn is_void(&self, slot: &Slot, winner: &Claim, now: u64) -> bool {
        if winner.id != self.id(winner.id.nonce) {
            return false;
        }
        // Without its attempt, the claim was replaced, which happens only when it can no longer be dispatched.
        slot.attempt(winner.id.nonce)
            .is_none_or(|attempt| match attempt.state {
                State::Claimed => now >= attempt.expiry,
                State::Unsent => true,
                State::Finished | State::Sent => false,
            })
    }

    /// Returns the next step of a call that may not dispatch now.
    fn step_without_dispatch(&self, key: &str, nonce: u64, now: u64) -> Step {
        let unavailable = Step::Refuse {
            kind: Kind::Unavailable,
        };
        let Ok(index) = self.find(key) else {
            // The key was removed after its lifetime, so an earlier call with it may have run.
            return Step::Refuse {
                kind: Kind::OutcomeUnknown,
            };
        };
        let slot = &self.slots[index];
        match &slot.settled {
            Some(Settled::Outcome(outcome)) => {
                return Step::Answer {
                    outcome: outcome.clone(),
                }
            }
            Some(Settled::Unknown) => {
                return Step::Refuse {
                    kind: Kind::OutcomeUnknown,
                }
            }
            None => {}
        }
        let own = slot.attempt(nonce).map(|attempt| attempt.state);
        if own == Some(State::Sent) {
            return Step::Wait;
        }
        let Some(winner) = &slot.winner else {
            let pending = slot
                .attempt
                .as_ref()
                .filter(|attempt| attempt.state == State::Claimed);
            return match pending {
                Some(attempt) if now < attempt.expiry => Step::Wait,
                _ => unavailable,
            };
        };
        if self.is_void(slot, winner, now) {
            return unavailable;
        }
        if now < winner.expiry + self.settings.outcome_wait_ms {
            return Step::Wait;
        }
        Step::Refuse {
            kind: Kind::OutcomeUnknown,
        }
    }
}
