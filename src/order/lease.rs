use serde::{Deserialize, Serialize};

use crate::id::{Fence, Incarnation, InstanceId};

/// Entry on the control stream of a domain: a claim or a renewal of the controller lease.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Lease {
    /// End of the lease, in unix milliseconds.
    pub expiry: u64,
    /// Fencing number of the lease that is renewed; 0 for a claim, whose own offset becomes the number.
    pub fence: Fence,
    /// The claiming instance.
    pub holder: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Start of the lease or renewal, in unix milliseconds.
    pub start: u64,
}
