/// State of a target at an instance.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Phase {
    /// Requests and collects grants.
    Acquiring,
    /// Neither owns nor requests the target.
    Idle,
    /// Owns the target.
    Owned,
}
