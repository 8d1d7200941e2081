use super::MAX_BODY_BYTES;

/// Guards of the claim protocol. They are on in every process; the model checker switches one off at a time to show
/// that the specification needs it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Guards {
    /// A claim is dispatched only before its expiry.
    pub expiry: bool,
    /// Only the first claim of a key in log order is dispatched.
    pub first: bool,
    /// A key whose claims may have been lost to retention is not claimed again.
    pub horizon: bool,
    /// An expired key is neither claimed nor dispatched.
    pub lifetime: bool,
    /// One claim is dispatched only once.
    pub once: bool,
    /// Only the claimer's own notes settle or free its claim.
    pub owner: bool,
    /// A claim is dispatched only after it was read back from the log.
    pub readback: bool,
}

/// Settings of a ledger; times in milliseconds.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Settings {
    /// Most bytes of outcome bodies kept in all; beyond it the oldest become "outcome unknown".
    pub bodies: usize,
    /// Most bytes of one outcome body kept.
    pub body: usize,
    /// How far in the future the time of a key may be.
    pub max_future_ms: u64,
    /// Guards, all on by default.
    pub guards: Guards,
    /// Most keys that calls of this instance may add to a ledger.
    pub keys: usize,
    /// How long a key is valid.
    pub lifetime_ms: u64,
    /// How long after the expiry of a claim a repeat waits for its outcome.
    pub outcome_wait_ms: u64,
    /// How long the log is known to keep entries; 0: not known.
    pub retention_ms: u64,
    /// Largest difference between the clocks of two instances; keys are remembered for that much longer.
    pub clock_skew_ms: u64,
    /// How long after a claim it may be dispatched.
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
            bodies: 4 * 1024 * 1024,
            body: MAX_BODY_BYTES,
            max_future_ms: 60_000,
            guards: Guards::default(),
            keys: 50_000,
            lifetime_ms: 3_600_000,
            outcome_wait_ms: 60_000,
            retention_ms: 0,
            clock_skew_ms: 60_000,
            validity_ms: 10_000,
        }
    }
}
