use std::rc::Rc;

use crate::entry::reservation::Reservation;
use crate::entry::Instance;

/// Removes a request from the view when it ends, however it ends.
pub(in crate::entry) struct InFlight {
    pub(super) instance: Rc<Instance>,
    pub(super) number: u64,
    /// Memory at other engines; released when the request ends.
    pub(super) reservations: Vec<Reservation>,
}

impl InFlight {
    /// Notes that the prompt was read.
    pub(in crate::entry) fn finish_prefill(&self) {
        self.instance.view.borrow_mut().finish_prefill(self.number);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.instance.view.borrow_mut().finish(self.number);
    }
}
