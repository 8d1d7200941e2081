/// The other side of control messages, in the order of the labels.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Channel {
    /// Datagrams to and from the instances of the own domain.
    Heartbeat,
    /// The instance list.
    List,
    /// The log service.
    Log,
    /// Other instances: ownership, holds, claims on handles and folds.
    Peer,
    /// Engines: readings of streams, cancellations, releases, tickets and orders.
    Target,
}
