/// Guards of the ownership protocol, all on by default.
///
/// For verification only: the specifications switch off one guard at a time and must then find a violation.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Guards {
    /// An owner stops unless every settled peer that it hears from has echoed a recent heartbeat.
    pub echo: bool,
    /// Ownership needs a grant from every live peer.
    pub grant: bool,
    /// Grants count only between the incarnations that exchanged them.
    pub incarnation: bool,
    /// A process loses its targets after a pause.
    pub pause: bool,
    /// A process owns nothing for one lease after its start or a pause; after its start it also grants nothing to new
    /// owners.
    pub quarantine: bool,
    /// A grant counts only for the acquire sequence in it.
    pub sequence: bool,
    /// An owner stops before it grants.
    pub stop: bool,
    /// A granting peer records the grant, and refuses others until the grantee has released the target or is dead.
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
