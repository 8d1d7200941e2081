use serde::{Deserialize, Serialize};

/// State of a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// Tolerates the cold limit only.
    Cold,
    /// Leaving, and nothing is left to run.
    Gone,
    /// Gets no new work; what it has started runs to its end.
    Leaving,
    /// At the full limit.
    Warm,
    /// Between the cold and the full limit.
    Warming,
}

impl State {
    /// Name in status answers and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            State::Cold => "cold",
            State::Gone => "gone",
            State::Leaving => "leaving",
            State::Warm => "warm",
            State::Warming => "warming",
        }
    }
}
