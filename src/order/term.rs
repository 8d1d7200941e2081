use super::Lease;
use crate::id::{Fence, Incarnation, InstanceId, Offset};

/// The lease in force according to the log.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Term {
    pub(super) expiry: u64,
    pub(super) fence: Fence,
    pub(super) holder: InstanceId,
    pub(super) incarnation: Incarnation,
}

impl Term {
    /// The term after `current` when `lease` is read at `offset`; `None` if the entry is not valid.
    ///
    /// A claim is valid unless it starts before the end of the current term. A renewal is valid if it is by the holder
    /// of the current term, has its fencing number, starts before its end and extends it. Only the content of the log
    /// counts, so all readers agree. Without a current term a renewal is valid too, because the claim may be older than
    /// the log's retention.
    pub(super) fn after(current: Option<&Term>, offset: Offset, lease: &Lease) -> Option<Term> {
        let valid = match current {
            None => true,
            Some(term) if lease.fence == 0 => lease.start >= term.expiry,
            Some(term) => term.is_renewed_by(lease),
        };
        valid.then(|| Term {
            expiry: lease.expiry,
            fence: if lease.fence == 0 {
                offset
            } else {
                lease.fence
            },
            holder: lease.holder.clone(),
            incarnation: lease.incarnation,
        })
    }

    fn is_renewed_by(&self, lease: &Lease) -> bool {
        lease.fence == self.fence
            && lease.holder == self.holder
            && lease.incarnation == self.incarnation
            && lease.start < self.expiry
            && lease.expiry > self.expiry
    }
}
