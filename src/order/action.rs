use super::{Lease, Model};
use crate::id::{Fence, TargetId};

/// What the daemon must do after a tick.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Append `lease` to the control stream. It may be repeated after a lost reply.
    Append {
        /// The claim or renewal.
        lease: Lease,
    },
    /// Check [`Controller::may_order`](super::Controller::may_order) again, then send the order to load to the target.
    Order {
        /// Fencing number of the order.
        fence: Fence,
        /// What the target is to load.
        load: Model,
        /// The target.
        target: TargetId,
    },
    /// Read what the target has loaded and pass it to [`Controller::observe`](super::Controller::observe).
    Read {
        /// The target.
        target: TargetId,
    },
}
