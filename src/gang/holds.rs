use std::time::Duration;

use crate::id::{AttemptId, Tokens};

use super::Hold;

/// The holds on one target, as kept by its owner.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Holds {
    /// Sorted by request.
    holds: Vec<Hold>,
}

impl Holds {
    /// Holds `tokens` for a request until `until`; replaces an earlier hold of the request. The caller has checked that
    /// the memory is free.
    pub fn hold(&mut self, request: AttemptId, tokens: Tokens, until: Duration) {
        let hold = Hold {
            request,
            tokens,
            until,
        };
        match self.find(request) {
            Ok(index) => self.holds[index] = hold,
            Err(index) => self.holds.insert(index, hold),
        }
    }

    /// Removes expired holds and returns their requests, whose handles must be deleted on the engine.
    pub fn expire(&mut self, now: Duration) -> Vec<AttemptId> {
        let expired = self
            .holds
            .iter()
            .filter(|hold| hold.until <= now)
            .map(|hold| hold.request)
            .collect();
        self.holds.retain(|hold| hold.until > now);
        expired
    }

    /// The holds, sorted by request.
    pub fn holds(&self) -> &[Hold] {
        &self.holds
    }

    /// The handles of an engine that belong to no hold.
    pub fn orphans(&self, handles: &[AttemptId]) -> Vec<AttemptId> {
        handles
            .iter()
            .copied()
            .filter(|handle| self.find(*handle).is_err())
            .collect()
    }

    /// Removes the hold of a request; returns whether there was one.
    pub fn release(&mut self, request: AttemptId) -> bool {
        let found = self.find(request);
        if let Ok(index) = found {
            self.holds.remove(index);
        }
        found.is_ok()
    }

    /// Extends a hold. Returns false if there is none, so that its memory may be in use by others.
    pub fn renew(&mut self, request: AttemptId, until: Duration) -> bool {
        let found = self.find(request);
        if let Ok(index) = found {
            self.holds[index].until = until;
        }
        found.is_ok()
    }

    /// Total memory held.
    pub fn tokens(&self) -> Tokens {
        self.holds.iter().map(|hold| hold.tokens).sum()
    }

    fn find(&self, request: AttemptId) -> Result<usize, usize> {
        self.holds
            .binary_search_by_key(&request, |hold| hold.request)
    }
}
