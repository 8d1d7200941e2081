use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, InstanceId, Offset};

/// Heartbeat from one instance to another of the same domain.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Acquire sequence up to which the sender has dropped all claims, after a pause or while it was isolated.
    pub dropped: u64,
    /// Sequence of the last heartbeat that the sender received from the receiver; 0 if none.
    pub echo: u64,
    /// Incarnation of the receiver to which `echo` refers; 0 if none.
    pub echo_incarnation: Incarnation,
    /// The sender.
    pub from: InstanceId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// Offset of the records that are in force at the sender.
    pub offset: Offset,
    /// Number of this heartbeat, from 1, counted over all receivers.
    pub sequence: u64,
    /// Whether the sender may own targets, now or within the suspicion window.
    pub settled: bool,
    /// Logical time of the sender, set by the daemon.
    pub time: u64,
}
