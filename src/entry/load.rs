use std::time::Duration;

/// What all instances together have at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Reading time of requests that are late anyway. It gives way to newer parts.
    pub background: Duration,
    /// Other reading time that is ahead.
    pub backlog: Duration,
    /// Shortest pause between events that a request there bears.
    pub gap: Option<Duration>,
    /// Requests with short prompts.
    pub short: u32,
    /// Requests that are not finished.
    pub running: u32,
    /// Tokens of context of these requests.
    pub tokens: u32,
}
