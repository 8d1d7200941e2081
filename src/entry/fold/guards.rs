/// Safety rules of a fold, all on; only verification turns them off.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Guards {
    /// A record of an earlier era stays in force until a later one takes its place.
    pub carry: bool,
    /// An instance that may have missed a removal passes on its whole state.
    pub complete: bool,
    /// Records of different eras are told apart.
    pub era: bool,
    /// An older record never replaces a newer one of the same key.
    pub newest: bool,
    /// A whole state removes no key of which a newer record is known.
    pub stale: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            carry: true,
            complete: true,
            era: true,
            newest: true,
            stale: true,
        }
    }
}
