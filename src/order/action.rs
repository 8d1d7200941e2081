use super::{Lease, ModelSpec};
use crate::id::{Fence, TargetId};

/// What the daemon has to do after a tick.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Append `lease` to the control stream; repeats after a lost reply are harmless.
    Append {
        /// The entry.
        lease: Lease,
    },
    /// Check [`Controller::may_order`](super::Controller::may_order) again, then order the target to load.
    Order {
        /// Fencing number of the order.
        fence: Fence,
        /// What the target is to load.
        load: ModelSpec,
        /// The target.
        target: TargetId,
    },
    /// Read what the target has loaded and pass it to [`Controller::observe`](super::Controller::observe).
    Read {
        /// The target.
        target: TargetId,
    },
}
