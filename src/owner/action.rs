use super::Acquire;
use crate::id::{InstanceId, TargetId};

/// What the daemon must do after a command.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Send `message` to `to`, and pass the answer to [`Table::receive_grant`](super::Table::receive_grant).
    Acquire {
        /// The request.
        message: Acquire,
        /// The peer that gets the request.
        to: InstanceId,
    },
    /// This instance owns the target from now on.
    Gained {
        /// Requests that the granting peers still have in flight at the target.
        in_flight: u32,
        /// Whether the previous owner handed over the target; otherwise the target's list of streams must be read
        /// first.
        planned: bool,
        /// The target.
        target: TargetId,
    },
    /// This instance no longer owns the target.
    Lost {
        /// The target.
        target: TargetId,
    },
}
