use std::rc::Rc;

use async_channel::Receiver;

use crate::entry::reservation::{Loss, Memory};
use crate::entry::Instance;

/// A request in the view; removed from it on drop.
pub(in crate::entry) struct InFlight {
    pub(super) instance: Rc<Instance>,
    pub(super) number: u64,
    /// Memory at other engines; released when the request ends.
    pub(super) memory: Option<Memory>,
}

impl InFlight {
    /// Records that the prefill is finished.
    pub(in crate::entry) fn finish_prefill(&self) {
        self.instance.view.borrow_mut().finish_prefill(self.number);
    }

    /// Records that the target sent an event.
    pub(in crate::entry) fn record_event(&self) {
        if let Some(memory) = &self.memory {
            memory.record_event();
        }
    }

    /// Gets the reason if memory of the request is lost; none if it has no memory at other engines.
    pub(in crate::entry) fn loss(&self) -> Option<Receiver<Loss>> {
        self.memory.as_ref().map(|memory| memory.loss().clone())
    }

    /// Removes the request from the view although it has not ended, because its memory has expired: its engines are free
    /// for others.
    pub(in crate::entry) fn leave_view(&self) {
        let finished = self.instance.view.borrow_mut().finish(self.number);
        if let Some(work) = finished {
            self.instance.announce_end(&work);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.leave_view();
    }
}
