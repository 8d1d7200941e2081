use super::MAX_BODY_BYTES;

/// Guards of the claim protocol, all on by default.
///
/// For verification only: the specifications switch off one guard at a time and must then find a violation.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Guards {
    /// A claim is dispatched only before its expiry.
    pub expiry: bool,
    /// Only the first claim of a key in log order is dispatched.
    pub first: bool,
    /// A key whose claims may have been removed by the log's retention is not claimed again.
    pub horizon: bool,
    /// An expired key is neither claimed nor dispatched.
    pub lifetime: bool,
    /// A claim is dispatched only once.
    pub once: bool,
    /// Only entries of the claimer settle or release its claim.
    pub owner: bool,
    /// A claim is dispatched only after it was read back from the log.
    pub readback: bool,
}

/// Settings of a ledger; times in milliseconds.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Settings {
    /// Largest difference between the clocks of two instances; keys are kept that much longer than their lifetime.
    pub clock_skew_ms: u64,
    /// Guards, all on by default; they are switched off for verification only.
    pub guards: Guards,
    /// How long a key is valid.
    pub lifetime_ms: u64,
    /// Maximum size of one outcome body that is kept.
    pub max_body_bytes: usize,
    /// How far the time of a key may be in the future.
    pub max_future_ms: u64,
    /// Number of keys in a ledger at which calls of this instance add no new ones.
    pub max_keys: usize,
    /// Maximum total size of the outcome bodies kept; above it, the oldest become "outcome unknown".
    pub max_total_body_bytes: usize,
    /// How long after the expiry of a claim a repeat still waits for its outcome.
    pub outcome_wait_ms: u64,
    /// How long the log is known to keep entries; 0 if unknown.
    pub retention_ms: u64,
    /// How long a claim may be dispatched after it was made.
    pub validity_ms: u64,
}

impl Default for Guards {
    fn default() -> Self {
        Guards {
            expiry: true,
            first: true,
            horizon: true,
            lifetime: true,
            once: true,
            owner: true,
            readback: true,
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            clock_skew_ms: 60_000,
            guards: Guards::default(),
            lifetime_ms: 3_600_000,
            max_body_bytes: MAX_BODY_BYTES,
            max_future_ms: 60_000,
            max_keys: 50_000,
            max_total_body_bytes: 4 * 1024 * 1024,
            outcome_wait_ms: 60_000,
            retention_ms: 0,
            validity_ms: 10_000,
        }
    }
}
