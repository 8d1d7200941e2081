/// How far an instance is with a target.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Phase {
    /// Collects grants.
    Acquiring,
    /// Neither owns nor asks.
    Idle,
    /// Owns the target.
    Owned,
}
