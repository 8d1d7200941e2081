use std::time::Duration;

use crate::id::Tokens;

/// Guards of the gang protocol. They are on in every process; the model checker switches one off at a time to show that
/// the specification needs it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Guards {
    /// A gang ends at its deadline.
    pub deadline: bool,
    /// A gang ends when a hold was not renewed in time.
    pub lapse: bool,
    /// Holds are taken in the order of target ids.
    pub order: bool,
    /// Everything that may be held is released when a gang ends.
    pub release: bool,
}

/// Settings of a coordinator.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Settings {
    /// Largest chunk of a prefill.
    pub chunk: Tokens,
    /// Guards, all on by default.
    pub guards: Guards,
    /// How long a hold lasts without renewal.
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
