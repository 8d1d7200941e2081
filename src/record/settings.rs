/// Newest schema version that this build reads.
pub const NEWEST_SCHEMA: u64 = 2;

/// Safety checks of the fold. Every process has all of them on; the model checker turns one off at a time to show that
/// the specification fails without it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Guards {
    /// An entry is accepted only if its base is the current revision of its record.
    pub base: bool,
    /// A fold is replaced only by one with a higher offset.
    pub monotonic: bool,
    /// Entries are applied once each and without gaps.
    pub sequence: bool,
    /// An unknown schema stops the fold instead of being skipped.
    pub known_schema: bool,
    /// The revision of a deleted record is kept, so that a repeated old entry does not create it again.
    pub tombstone: bool,
}

/// Settings of the fold.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Settings {
    /// Safety checks, all on by default.
    pub guards: Guards,
    /// Newest schema version that the fold reads.
    pub newest_schema: u64,
}

impl Default for Guards {
    fn default() -> Self {
        Guards {
            base: true,
            monotonic: true,
            sequence: true,
            known_schema: true,
            tombstone: true,
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            guards: Guards::default(),
            newest_schema: NEWEST_SCHEMA,
        }
    }
}
