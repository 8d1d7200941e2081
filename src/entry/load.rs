use std::time::Duration;

/// Load of one target from all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Remaining prefill time of background requests, which engines postpone in favor of newer ones.
    pub background: Duration,
    /// Remaining prefill time of all other requests.
    pub backlog: Duration,
    /// Smallest gap between events that a running request tolerates.
    pub gap: Option<Duration>,
    /// Whether it is held for a prompt that waits until earlier work there has ended.
    pub held: bool,
    /// Running requests.
    pub running: u32,
    /// Running requests with short prompts.
    pub short: u32,
    /// Tokens of context that running requests occupy.
    pub tokens: u32,
}
