use super::State;

/// Request limit of a target that grows with completed work.
#[derive(Clone, Debug)]
pub(super) struct Ramp {
    cold: u32,
    completed: u32,
    epoch: u64,
    full: u32,
    limit: u32,
    /// What the target said about itself since it last turned cold.
    reported: Option<bool>,
    state: State,
}

impl Ramp {
    /// Starts cold.
    pub(super) fn new(cold: u32, full: u32) -> Ramp {
        let full = full.max(1);
        let cold = cold.clamp(1, full);
        Ramp {
            cold,
            completed: 0,
            epoch: 0,
            full,
            limit: cold,
            reported: None,
            state: State::Cold,
        }
    }

    /// Back to the cold limit; work of earlier epochs does not count any more.
    pub(super) fn mark_cold(&mut self) {
        self.completed = 0;
        self.epoch += 1;
        self.limit = self.cold;
        self.reported = None;
        self.state = State::Cold;
    }

    /// Takes the target's own word whether it is cold. It stays at the cold limit as long as it says so.
    pub(super) fn report(&mut self, cold: bool) {
        if cold && self.state != State::Cold {
            self.mark_cold();
        }
        self.reported = Some(cold);
    }

    /// Counts a completed request that was dispatched in `epoch`; doubles after a full limit's worth.
    pub(super) fn complete(&mut self, epoch: u64) {
        let settled = self.state == State::Warm || self.reported == Some(true);
        if epoch != self.epoch || settled {
            return;
        }
        self.completed += 1;
        if self.completed < self.limit {
            return;
        }
        self.completed = 0;
        self.limit = self.limit.saturating_mul(2).min(self.full);
        self.state = if self.limit < self.full {
            State::Warming
        } else {
            State::Warm
        };
    }

    /// Changes the cold limit, which applies at once while cold.
    pub(super) fn set_cold(&mut self, cold: u32) {
        self.cold = cold.clamp(1, self.full);
        if self.state == State::Cold {
            self.limit = self.cold;
        }
    }

    pub(super) fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(super) fn limit(&self) -> u32 {
        self.limit
    }

    pub(super) fn state(&self) -> State {
        self.state
    }
}
