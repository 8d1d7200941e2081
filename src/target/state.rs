use serde::{Deserialize, Serialize};

/// State of a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// Runs at most the cold limit of requests.
    Cold,
    /// Leaving, with no queued or running request and no hold left.
    Gone,
    /// Starts no new requests; those that have started run to their end.
    Leaving,
    /// Runs up to the full limit of requests.
    Warm,
    /// The limit is growing from the cold to the full limit.
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
