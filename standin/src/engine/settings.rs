//! Settings of an engine.

use std::net::SocketAddr;

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// First boot number; 0 takes the wall time.
    pub boot: u64,
    /// Whether orders with an old fencing number are refused.
    pub check_fencing: bool,
    /// Whether it starts cold.
    pub cold: bool,
    /// Factor by which prefill is slower while it is cold.
    pub cold_factor: f64,
    /// Streams that may be open without a crash while it is cold.
    pub cold_limit: usize,
    /// Tokens per second and stream.
    pub decode_rate: f64,
    /// Age in milliseconds that load reports and cache events have when they can be read.
    pub lag_ms: u64,
    /// Memory for streams, handles and prefix cache, in tokens.
    pub memory: u64,
    /// Name of the model.
    pub model: String,
    /// Tokens per second over all streams.
    pub prefill_rate: f64,
    /// Time in milliseconds from a crash to the return.
    pub restart_ms: u64,
    /// Time in milliseconds for which a stream without a reader is kept.
    pub resume_ms: u64,
    /// Weight store from which an order for another model or version reads.
    pub store: Option<SocketAddr>,
    /// Version of the model.
    pub version: String,
    /// Completed requests after which it is warm.
    pub warm_after: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            boot: 0,
            check_fencing: true,
            cold: true,
            cold_factor: 4.0,
            cold_limit: 2,
            decode_rate: 50.0,
            lag_ms: 200,
            memory: 400_000,
            model: "m".to_owned(),
            prefill_rate: 50_000.0,
            restart_ms: 200,
            resume_ms: 3_000,
            store: None,
            version: "1".to_owned(),
            warm_after: 8,
        }
    }
}
