use super::Acquire;
use crate::id::{InstanceId, TargetId};

/// What the daemon has to do after a command.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Send `message` to `to` and pass the answer to [`Table::receive_grant`](super::Table::receive_grant).
    Acquire {
        /// The request.
        message: Acquire,
        /// The peer to ask.
        to: InstanceId,
    },
    /// This instance owns the target from now on.
    Gained {
        /// Requests that the granting peers still have in flight at the target.
        in_flight: u32,
        /// Whether the previous owner handed the target over; otherwise the target's stream list is to be read first.
        planned: bool,
        /// The target.
        target: TargetId,
    },
    /// This instance does not own the target any more.
    Lost {
        /// The target.
        target: TargetId,
    },
}
