use crate::id::{Incarnation, InstanceId};

use super::{Entry, Outcome};

/// Most freed attempts of one key that are remembered.
const MAX_SPENT: usize = 8;

/// One attempt of one process to run a call.
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
    pub(super) seen: bool,
    pub(super) state: State,
}

/// The claim that may run.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Claim {
    pub(super) expiry: u64,
    pub(super) id: Id,
}

/// What became of the claim that ran.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) enum Settled {
    Outcome(Outcome),
    Unknown,
}

/// How far an attempt of this process is.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum State {
    Claimed,
    Finished,
    Sent,
    Unsent,
}

/// What is known about one key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Slot {
    pub(super) attempt: Option<Attempt>,
    pub(super) key: String,
    pub(super) millis: u64,
    pub(super) settled: Option<Settled>,
    pub(super) spent: Vec<Id>,
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
    pub(super) fn new(key: String, millis: u64) -> Slot {
        Slot {
            attempt: None,
            key,
            millis,
            settled: None,
            spent: Vec::new(),
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
    pub(super) fn bytes(&self) -> usize {
        match &self.settled {
            Some(Settled::Outcome(outcome)) => outcome.body.len(),
            Some(Settled::Unknown) | None => 0,
        }
    }

    /// Remembers that an attempt is void; a claim of it that arrives later has no effect.
    pub(super) fn spend(&mut self, id: Id) {
        if self.spent.contains(&id) {
            return;
        }
        if self.spent.len() == MAX_SPENT {
            self.spent.remove(0);
        }
        self.spent.push(id);
    }

    /// Whether the attempt `id` holds the key.
    pub(super) fn won(&self, id: &Id) -> bool {
        self.winner.as_ref().is_some_and(|winner| winner.id == *id)
    }
}
