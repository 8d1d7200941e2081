use serde::{Deserialize, Serialize};

use crate::id::{Fence, Incarnation, InstanceId};

/// Entry on the control stream of a domain: a claim or a renewal of the controller lease.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Lease {
    /// End of the lease, in Unix milliseconds.
    pub expiry: u64,
    /// Fencing number of the lease to renew; 0 for a claim, whose offset in the log becomes the fencing number.
    pub fence: Fence,
    /// The instance that claims or renews the lease.
    pub holder: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Start of the lease or renewal, in Unix milliseconds.
    pub start: u64,
}
