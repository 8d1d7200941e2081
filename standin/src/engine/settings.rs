//! Settings of an engine.

use std::net::SocketAddr;

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// First boot number; 0 takes the Unix time in milliseconds.
    pub boot: u64,
    /// Whether orders with a stale fencing number are refused.
    pub check_fencing: bool,
    /// Whether it starts cold.
    pub cold: bool,
    /// Factor by which prefill takes longer while it is cold.
    pub cold_factor: f64,
    /// Most streams that may be open while it is cold; one more crashes it.
    pub cold_limit: usize,
    /// Tokens generated per second, for each stream.
    pub decode_rate: f64,
    /// Age in milliseconds at which load reports and cache events become readable.
    pub lag_ms: u64,
    /// Memory for streams, handles and prefix cache, in tokens.
    pub memory: u64,
    /// Name of the model.
    pub model: String,
    /// Prompt tokens processed per second, over all streams.
    pub prefill_rate: f64,
    /// Time in milliseconds that a restart after a crash takes.
    pub restart_ms: u64,
    /// Time in milliseconds for which a stream without a reader can be resumed.
    pub resume_ms: u64,
    /// Weight store that orders for another model or version read from; without one, loading takes no time.
    pub store: Option<SocketAddr>,
    /// Version of the model.
    pub version: String,
    /// Number of completed requests after which it is warm.
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
