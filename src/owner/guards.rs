/// Guards of the ownership protocol, all on by default.
///
/// For verification only: the specifications switch off one guard at a time and must then find a violation.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Guards {
    /// An owner stops unless its peers have echoed a recent heartbeat of it.
    pub echo: bool,
    /// Ownership needs a grant from every live peer.
    pub grant: bool,
    /// Grants count only between the incarnations that exchanged them.
    pub incarnation: bool,
    /// A process that was paused loses what it owned.
    pub pause: bool,
    /// A new or paused process owns nothing for one lease, and a new one grants nothing to new owners.
    pub quarantine: bool,
    /// A grant counts only for the acquire sequence that it repeats.
    pub sequence: bool,
    /// An owner stops before it grants.
    pub stop: bool,
    /// A granting peer remembers the grant and refuses others until the holder has released it or is dead.
    pub witness: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            echo: true,
            grant: true,
            incarnation: true,
            pause: true,
            quarantine: true,
            sequence: true,
            stop: true,
            witness: true,
        }
    }
}
