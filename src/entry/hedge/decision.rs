use std::time::Duration;

/// What the decision on a hedge depends on, when the first send has become slow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Situation {
    /// Whether the hedge budget has room.
    pub has_budget: bool,
    /// Whether the retry budget is less than half used and allows another send.
    pub has_retry_budget: bool,
    /// Whether another target that was not tried has a free slot.
    pub has_target: bool,
    /// Whether a fragment of the prompt is restricted, so that each send is a trial.
    pub is_trial: bool,
    /// Maximum number of targets on which the request may run.
    pub max_attempts: u32,
    /// Sends whose outcomes are not known.
    pub open: usize,
    /// Sends of the request so far.
    pub sends: u32,
    /// Time until the request times out.
    pub time_left: Duration,
}

/// Why a hedge is withheld.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The route's maximum of attempts.
    Attempts,
    /// The hedge budget.
    Budget,
    /// A restricted fragment.
    Fragment,
    /// The retry budget.
    RetryBudget,
    /// No target with a free slot.
    Slots,
    /// No time is left.
    Time,
}

impl Reason {
    /// Outcome in the metric.
    pub const fn name(self) -> &'static str {
        match self {
            Reason::Attempts => "withheld_attempts",
            Reason::Budget => "withheld_budget",
            Reason::Fragment => "withheld_fragment",
            Reason::RetryBudget => "withheld_retry_budget",
            Reason::Slots => "withheld_slots",
            Reason::Time => "withheld_time",
        }
    }
}

/// Decides whether a request whose first send is slow is sent to a second target, or why not.
///
/// # Errors
/// The first reason for which it is withheld.
pub fn decide(situation: &Situation) -> Result<(), Reason> {
    let is_first = situation.sends == 1 && situation.open == 1;
    let checks = [
        (is_first && situation.max_attempts > 1, Reason::Attempts),
        (!situation.time_left.is_zero(), Reason::Time),
        (!situation.is_trial, Reason::Fragment),
        (situation.has_budget, Reason::Budget),
        (situation.has_retry_budget, Reason::RetryBudget),
        (situation.has_target, Reason::Slots),
    ];
    let failed = checks.iter().find(|(holds, _)| !holds);
    failed.map_or(Ok(()), |(_, reason)| Err(*reason))
}
