use crate::error::{Error, Kind};
use crate::id::{Incarnation, InstanceId, Offset};

use super::entry;
use super::slot::{Attempt, Claim, Id, Settled, Slot, State};
use super::{Entry, Guards, Key, Note, Outcome, Settings, Step};

/// Interval at which keys past their lifetime are dropped, in milliseconds.
const SWEEP_MS: u64 = 1_000;

/// What one instance knows about the claims of one log stream. Times are Unix milliseconds; a clock that steps back is
/// held at its highest value, so that an expired claim or key does not become valid again.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Ledger {
    bytes: usize,
    /// Claims appended up to this time may be missing here.
    horizon: u64,
    incarnation: Incarnation,
    me: InstanceId,
    now: u64,
    offset: Offset,
    settings: Settings,
    slots: Vec<Slot>,
    swept: u64,
}

impl Ledger {
    /// Makes an empty ledger, which has read nothing of its stream.
    pub fn new(me: InstanceId, incarnation: Incarnation, settings: Settings) -> Ledger {
        Ledger {
            bytes: 0,
            horizon: 0,
            incarnation,
            me,
            now: 0,
            offset: 0,
            settings,
            slots: Vec::new(),
            swept: 0,
        }
    }

    /// Applies one entry read back from the log. Entries of one group commit have the same offset; lower offsets are
    /// ignored, and a gap counts as entries lost to retention.
    pub fn apply(&mut self, offset: Offset, entry: &Entry, now: u64) {
        self.advance(now);
        if offset < self.offset {
            return;
        }
        self.truncate(offset, now);
        self.offset = offset;
        let Ok(key) = Key::of_scoped(&entry.key) else {
            return;
        };
        let place = self.find(&entry.key);
        let index = match place {
            Ok(index) => index,
            Err(_) if self.forgotten(key.millis()) => return,
            Err(index) => {
                self.slots
                    .insert(index, Slot::new(entry.key.clone(), key.millis()));
                index
            }
        };
        match &entry.note {
            Note::Claim => self.claim(index, entry),
            Note::Outcome(outcome) => {
                self.settle(index, &Id::of(entry), Settled::Outcome(outcome.clone()))
            }
            Note::Unknown => self.settle(index, &Id::of(entry), Settled::Unknown),
            Note::Unsent => self.free(index, Id::of(entry)),
        }
    }

    /// Starts a call under a scoped key.
    pub fn begin(&mut self, key: &str, nonce: u64, now: u64) -> Step {
        self.advance(now);
        let parsed = match Key::of_scoped(key) {
            Ok(parsed) => parsed,
            Err(error) => return Step::Refuse { kind: error.kind() },
        };
        let place = self.find(key);
        if let Ok(index) = place {
            if self.slots[index].winner.is_some() || self.busy(index) {
                return self.poll(key, nonce, now);
            }
        }
        if let Err(kind) = self.admit(&parsed, place.is_err()) {
            return Step::Refuse { kind };
        }
        let index = place.unwrap_or_else(|index| {
            self.slots
                .insert(index, Slot::new(key.into(), parsed.millis()));
            index
        });
        // Not beyond the key's own end, so that no claim is dispatched after a refusal of the key as expired.
        let end = match self.guards().lifetime {
            true => parsed.millis().saturating_add(self.settings.lifetime_ms),
            false => u64::MAX,
        };
        let expiry = end.min(self.now + self.settings.validity_ms);
        self.slots[index].attempt = Some(Attempt {
            expiry,
            nonce,
            seen: false,
            state: State::Claimed,
        });
        Step::Append {
            entry: self.entry(key, nonce, expiry, Note::Claim),
        }
    }

    /// Checks just before the first byte is written to the service. Only after [`Step::Dispatch`] may bytes be written.
    pub fn dispatch(&mut self, key: &str, nonce: u64, now: u64) -> Step {
        self.advance(now);
        let once = self.guards().once;
        let Some(index) = self
            .find(key)
            .ok()
            .filter(|index| self.may_dispatch(*index, nonce))
        else {
            return self.poll_without_dispatch(key, nonce);
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

    /// Whether another call with the key may be running or may have run, so that a call that gives up must not say that
    /// nothing was run under the key.
    pub fn is_contested(&self, key: &str, nonce: u64) -> bool {
        let Ok(index) = self.find(key) else {
            return false;
        };
        let slot = &self.slots[index];
        let held = slot.winner.as_ref();
        let other = held.is_some_and(|winner| winner.id != self.id(nonce));
        other || (slot.attempt(nonce).is_none() && self.busy(index))
    }

    /// Tells that the append may or may not have taken effect. The claim stays until it is read back or expires; the
    /// same entry may be appended again.
    pub fn append_unconfirmed(&mut self, key: &str, nonce: u64, now: u64) -> Step {
        self.advance(now);
        self.poll(key, nonce, now)
    }

    /// Tells that the append of the claim failed for certain. The attempt is over, nothing was run.
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

    /// Records the outcome of a call that was dispatched, `None` if it is not known. Returns the entry to append.
    ///
    /// A body above the limit is recorded as "outcome unknown" for repeats.
    pub fn finish(&mut self, key: &str, nonce: u64, outcome: Option<Outcome>) -> Option<Entry> {
        let index = self.find(key).ok()?;
        let attempt = self.slots[index]
            .attempt_mut(nonce)
            .filter(|attempt| attempt.state == State::Sent)?;
        attempt.state = State::Finished;
        let expiry = attempt.expiry;
        let limit = self.settings.body;
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

    /// What to do now for a call. "Unavailable" means that its claim did not come into force in time.
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
        self.wait(key, nonce, now)
    }

    /// Applies one log entry as read from the stream.
    ///
    /// # Errors
    /// `BadRequest` if the body is not from this or an older build. It counts as lost to retention then, since it may
    /// hold claims.
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

    /// Tells that the stream starts at `first`. Entries below it that were not read are lost: keys that they may have
    /// claimed are answered "outcome unknown", and pending claims are void, since an earlier one may be lost.
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

    /// Records that no byte of the call was written and that none will be. Returns the entry to append, which lets the
    /// next claim of the key run. It has to be called for each refusal of a claim that was or may have been appended.
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
        // An earlier claim can be as old as the key allows, by a clock that is ahead by the slack.
        let earliest = key
            .millis()
            .saturating_sub(self.settings.max_future_ms + self.settings.clock_skew_ms);
        if self.horizon > 0 && earliest <= self.horizon {
            return Err(Kind::OutcomeUnknown);
        }
        if new && self.slots.len() >= self.settings.keys {
            return Err(Kind::Overloaded);
        }
        Ok(())
    }

    fn advance(&mut self, now: u64) {
        self.now = self.now.max(now);
        if self.now < self.swept + SWEEP_MS {
            return;
        }
        self.swept = self.now;
        let kept = self
            .now
            .saturating_sub(self.settings.lifetime_ms + self.settings.clock_skew_ms);
        self.slots.retain(|slot| slot.millis >= kept);
        self.bytes = self.slots.iter().map(Slot::bytes).sum();
    }

    /// Whether an attempt of this process may still run or is running.
    fn busy(&self, index: usize) -> bool {
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
        if slot.spent.contains(&id) {
            return;
        }
        if own {
            if let Some(attempt) = slot.attempt_mut(entry.nonce) {
                attempt.seen = true;
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

    /// Whether a key of this time is past its lifetime and the slack.
    fn forgotten(&self, millis: u64) -> bool {
        millis
            < self
                .now
                .saturating_sub(self.settings.lifetime_ms + self.settings.clock_skew_ms)
    }

    fn free(&mut self, index: usize, id: Id) {
        let owner = self.guards().owner;
        let slot = &mut self.slots[index];
        if (slot.won(&id) || !owner) && slot.settled.is_none() {
            slot.winner = None;
        }
        slot.spend(id);
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

    /// Whether the attempt holds the key and its claim is not expired.
    fn may_dispatch_at(&self, index: usize, nonce: u64, now: u64) -> bool {
        let slot = &self.slots[index];
        let Some(attempt) = slot.attempt(nonce) else {
            return false;
        };
        let guards = self.guards();
        let held = if !guards.readback {
            true
        } else if !guards.first {
            attempt.seen
        } else {
            slot.won(&self.id(nonce))
        };
        let live = now < attempt.expiry || !guards.expiry;
        let open = matches!(attempt.state, State::Claimed | State::Sent);
        held && live && open && slot.settled.is_none()
    }

    fn poll_without_dispatch(&self, key: &str, nonce: u64) -> Step {
        match self.wait(key, nonce, self.now) {
            // The caller of `dispatch` is about to write; without a held claim it must not, and nothing was written.
            Step::Wait => Step::Refuse {
                kind: Kind::Unavailable,
            },
            step => step,
        }
    }

    fn settle(&mut self, index: usize, id: &Id, settled: Settled) {
        let owner = self.guards().owner;
        let slot = &mut self.slots[index];
        if slot.settled.is_some() || (owner && !slot.won(id)) {
            return;
        }
        slot.settled = Some(settled);
        self.bytes += slot.bytes();
        self.shed(index);
    }

    /// Drops the bodies of the oldest keys other than `kept` until the rest are within the limit.
    fn shed(&mut self, kept: usize) {
        while self.bytes > self.settings.bodies {
            let held = self
                .slots
                .iter()
                .enumerate()
                .filter(|(index, slot)| *index != kept && slot.bytes() > 0);
            let Some((index, _)) = held.min_by_key(|(_, slot)| slot.millis) else {
                return;
            };
            self.bytes -= self.slots[index].bytes();
            self.slots[index].settled = Some(Settled::Unknown);
        }
    }

    /// Whether the claim in force is one of this process that will never be dispatched.
    fn void(&self, slot: &Slot, winner: &Claim, now: u64) -> bool {
        if winner.id != self.id(winner.id.nonce) {
            return false;
        }
        // Without an attempt the claim was replaced, which only happens to one that cannot be dispatched any more.
        slot.attempt(winner.id.nonce)
            .is_none_or(|attempt| match attempt.state {
                State::Claimed => now >= attempt.expiry,
                State::Unsent => true,
                State::Finished | State::Sent => false,
            })
    }

    /// What a call that may not dispatch now gets.
    fn wait(&self, key: &str, nonce: u64, now: u64) -> Step {
        let unavailable = Step::Refuse {
            kind: Kind::Unavailable,
        };
        let Ok(index) = self.find(key) else {
            // The key was dropped after its lifetime, so an earlier call with it may have run.
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
        if self.void(slot, winner, now) {
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
