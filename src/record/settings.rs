/// Newest schema version that this build reads.
pub const NEWEST_SCHEMA: u64 = 2;

/// Guards of the fold. They are on in every process; the model checker switches one off at a time to show that the
/// specification needs it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Guards {
    /// An entry is accepted only on the current revision of its record.
    pub base: bool,
    /// A fold is replaced only by one with a higher offset.
    pub monotonic: bool,
    /// Entries are applied without gap and only once.
    pub sequence: bool,
    /// An unknown schema stops the fold instead of being skipped.
    pub known_schema: bool,
    /// A deleted record keeps its revision, so that a repeated old entry does not create it again.
    pub tombstone: bool,
}

/// Settings of the fold.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Settings {
    /// Guards, all on by default.
    pub guards: Guards,
    /// Newest schema version that is read.
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
