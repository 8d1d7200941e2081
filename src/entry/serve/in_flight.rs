use std::rc::Rc;

use crate::entry::reservation::Reservation;
use crate::entry::Instance;

/// A request in the view; removed from it on drop.
pub(in crate::entry) struct InFlight {
    pub(super) instance: Rc<Instance>,
    pub(super) number: u64,
    /// Memory at other engines; released when the request ends.
    pub(super) reservations: Vec<Reservation>,
}

impl InFlight {
    /// Records that the prefill is finished.
    pub(in crate::entry) fn finish_prefill(&self) {
        self.instance.view.borrow_mut().finish_prefill(self.number);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.instance.view.borrow_mut().finish(self.number);
    }
}
