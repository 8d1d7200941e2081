use std::time::Duration;

use crate::id::Tokens;

/// Guards of the gang protocol, all on by default.
///
/// For verification only: the specifications switch off one guard at a time and must then find a violation.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Guards {
    /// A gang ends at its deadline.
    pub deadline: bool,
    /// A gang ends when a hold is not renewed in time.
    pub lapse: bool,
    /// Holds are requested in the order of target ids.
    pub order: bool,
    /// All parts that may be held are released when a gang ends.
    pub release: bool,
}

/// Settings of a coordinator.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Settings {
    /// Maximum tokens per prefill chunk.
    pub chunk: Tokens,
    /// Guards, all on by default; they are switched off for verification only.
    pub guards: Guards,
    /// How long a hold is valid without a renewal.
    pub hold: Duration,
    /// Interval of renewals.
    pub renew: Duration,
}

impl Default for Guards {
    fn default() -> Self {
        Guards {
            deadline: true,
            lapse: true,
            order: true,
            release: true,
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            chunk: 32_000,
            guards: Guards::default(),
            hold: Duration::from_secs(5),
            renew: Duration::from_secs(1),
        }
    }
}
