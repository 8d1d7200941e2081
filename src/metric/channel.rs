/// The remote side of control messages, in the order of the `channel` label values.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Channel {
    /// Heartbeats, as datagrams, to and from the instances of the same domain.
    Heartbeat,
    /// The instance list.
    List,
    /// The log service.
    Log,
    /// Other instances: ownership, holds, claims on handles and folds.
    Peer,
    /// Engines: stream readings, cancellations, releases, tickets and orders.
    Target,
}
