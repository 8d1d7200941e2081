/// Limits retries to a share of the first attempts, so that retries cannot amplify an overload.
#[derive(Clone, Debug)]
pub struct Budget {
    burst: f64,
    /// Retries available now.
    credit: f64,
    share: f64,
}

impl Budget {
    /// `share`: retries per first attempt, 0 to 1. `burst`: maximum of accumulated retries, with which the budget
    /// starts.
    pub fn new(share: f64, burst: f64) -> Budget {
        let burst = burst.max(0.0);
        Budget {
            burst,
            credit: burst,
            share: share.clamp(0.0, 1.0),
        }
    }

    /// Counts a first attempt.
    pub fn record_attempt(&mut self) {
        self.credit = (self.credit + self.share).min(self.burst);
    }

    /// Spends one retry; returns false if the budget is exhausted.
    pub fn try_spend(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}

impl Default for Budget {
    fn default() -> Budget {
        Budget::new(0.2, 10.0)
    }
}
