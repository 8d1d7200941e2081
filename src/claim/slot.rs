use crate::id::{Incarnation, InstanceId};

use super::{Entry, Outcome};

/// Maximum number of void attempts that are kept per key.
const MAX_VOID_ATTEMPTS: usize = 8;

/// Identifies one attempt of one process to run a call.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Id {
    pub(super) claimer: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) nonce: u64,
}

/// An attempt of this process.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Attempt {
    pub(super) expiry: u64,
    pub(super) nonce: u64,
    /// Whether the claim was read back from the log.
    pub(super) read_back: bool,
    pub(super) state: State,
}

/// The claim in force, which may run.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Claim {
    pub(super) expiry: u64,
    pub(super) id: Id,
}

/// Result of the claim that ran.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) enum Settled {
    Outcome(Outcome),
    Unknown,
}

/// State of an attempt of this process.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum State {
    Claimed,
    Finished,
    Sent,
    Unsent,
}

/// State of one key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Slot {
    pub(super) attempt: Option<Attempt>,
    /// When the key was made, in Unix milliseconds.
    pub(super) created_ms: u64,
    pub(super) key: String,
    pub(super) settled: Option<Settled>,
    /// Attempts that will never run, so that their claims have no effect.
    pub(super) void_attempts: Vec<Id>,
    /// The first claim in log order that is not void.
    pub(super) winner: Option<Claim>,
}

impl Id {
    pub(super) fn of(entry: &Entry) -> Id {
        Id {
            claimer: entry.claimer.clone(),
            incarnation: entry.incarnation,
            nonce: entry.nonce,
        }
    }
}

impl Slot {
    pub(super) fn new(key: String, created_ms: u64) -> Slot {
        Slot {
            attempt: None,
            created_ms,
            key,
            settled: None,
            void_attempts: Vec::new(),
            winner: None,
        }
    }

    /// The attempt with this nonce.
    pub(super) fn attempt(&self, nonce: u64) -> Option<&Attempt> {
        self.attempt
            .as_ref()
            .filter(|attempt| attempt.nonce == nonce)
    }

    /// The attempt with this nonce.
    pub(super) fn attempt_mut(&mut self, nonce: u64) -> Option<&mut Attempt> {
        self.attempt
            .as_mut()
            .filter(|attempt| attempt.nonce == nonce)
    }

    /// Bytes of the outcome body.
    pub(super) fn body_bytes(&self) -> usize {
        match &self.settled {
            Some(Settled::Outcome(outcome)) => outcome.body.len(),
            Some(Settled::Unknown) | None => 0,
        }
    }

    /// Records that an attempt is void; if its claim is read later, it has no effect.
    pub(super) fn mark_void(&mut self, id: Id) {
        if self.void_attempts.contains(&id) {
            return;
        }
        if self.void_attempts.len() == MAX_VOID_ATTEMPTS {
            self.void_attempts.remove(0);
        }
        self.void_attempts.push(id);
    }

    /// Whether the attempt `id` holds the key.
    pub(super) fn is_held_by(&self, id: &Id) -> bool {
        self.winner.as_ref().is_some_and(|winner| winner.id == *id)
    }
}
