use super::State;

/// Limit on running requests, which grows from the cold to the full limit as requests complete.
#[derive(Clone, Debug)]
pub(super) struct Ramp {
    cold_limit: u32,
    completed: u32,
    epoch: u64,
    full_limit: u32,
    limit: u32,
    /// The target's last report whether it is cold, since it was last marked cold.
    reported_cold: Option<bool>,
    state: State,
}

impl Ramp {
    /// Starts cold.
    pub(super) fn new(cold_limit: u32, full_limit: u32) -> Ramp {
        let full_limit = full_limit.max(1);
        let cold_limit = cold_limit.clamp(1, full_limit);
        Ramp {
            cold_limit,
            completed: 0,
            epoch: 0,
            full_limit,
            limit: cold_limit,
            reported_cold: None,
            state: State::Cold,
        }
    }

    /// Returns to the cold limit and starts a new epoch; requests dispatched in earlier epochs no longer count.
    pub(super) fn mark_cold(&mut self) {
        self.completed = 0;
        self.epoch += 1;
        self.limit = self.cold_limit;
        self.reported_cold = None;
        self.state = State::Cold;
    }

    /// Applies the target's own report whether it is cold. The limit does not grow while it reports itself as cold.
    pub(super) fn report(&mut self, cold: bool) {
        if cold && self.state != State::Cold {
            self.mark_cold();
        }
        self.reported_cold = Some(cold);
    }

    /// Counts a completed request that was dispatched in `epoch`. The limit doubles after as many completions as the
    /// limit allows running requests.
    pub(super) fn complete(&mut self, epoch: u64) {
        let fixed = self.state == State::Warm || self.reported_cold == Some(true);
        if epoch != self.epoch || fixed {
            return;
        }
        self.completed += 1;
        if self.completed < self.limit {
            return;
        }
        self.completed = 0;
        self.limit = self.limit.saturating_mul(2).min(self.full_limit);
        self.state = if self.limit < self.full_limit {
            State::Warming
        } else {
            State::Warm
        };
    }

    /// Sets the cold limit; it takes effect at once if the target is cold.
    pub(super) fn set_cold_limit(&mut self, limit: u32) {
        self.cold_limit = limit.clamp(1, self.full_limit);
        if self.state == State::Cold {
            self.limit = self.cold_limit;
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
