use std::rc::Rc;

use super::Exchange;
use crate::entry::{FragmentKey, Instance, Request, Target};
use crate::event;

impl Exchange {
    /// Finds out whether a target ended when it should have begun to write the answer, since the broken connection may
    /// also have been reset alone.
    pub(in crate::entry) fn confirm_end(&self, target: &Rc<Target>) {
        if self.fragments.is_empty() {
            return;
        }
        let instance = self.instance.clone();
        let (request, fragments) = (self.request.clone(), self.fragments.clone());
        let target = target.clone();
        let check = async move {
            if !instance.targets.probe(target.address).await {
                instance.record_end(&request, &fragments, &target);
            }
        };
        self.instance.spawn("target_end", check);
    }

    /// Records that a target ended before it wrote on after the first events.
    pub(in crate::entry) fn record_end(&self, target: &Target) {
        let (request, fragments) = (&self.request, &self.fragments);
        self.instance.record_end(request, fragments, target);
    }
}

impl Instance {
    /// Records that a target ended before it wrote an answer to the request. A target that left on purpose says nothing
    /// about the request.
    fn record_end(&self, request: &Request, fragments: &[FragmentKey], target: &Target) {
        let is_leaving = {
            let directory = self.directory.borrow();
            let known = directory.target(&target.id);
            let is_leaving = directory.is_leaving(&target.id, target.started_unix_ms);
            is_leaving || known.is_none_or(|known| known.draining)
        };
        if is_leaving {
            return;
        }
        self.metrics.target_ends.inc();
        event!(
            warn,
            self.source,
            "target_ended",
            request = request.id.as_str(),
            target = target.id.as_str(),
            fragments = request.shared_fragments.join(",")
        );
        let now = self.clock.now();
        let banned = self
            .quarantine
            .borrow_mut()
            .record_crash(fragments, target.key(), now);
        self.log_bans(&banned);
        self.request_heartbeat();
    }
}
