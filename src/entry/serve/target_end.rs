use std::rc::Rc;
use std::time::Duration;

use smol::Timer;

use super::Exchange;
use crate::entry::{FragmentKey, Instance, Request, Target};
use crate::event;

/// Time in which a process that ends closes its sockets; the listener may be the last one.
const EXIT_TIME: Duration = Duration::from_millis(50);

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
            let mut accepts = instance.targets.probe(target.address).await;
            if accepts {
                Timer::after(EXIT_TIME).await;
                accepts = instance.targets.probe(target.address).await;
            }
            if !accepts {
                instance.record_end(&request, &fragments, &target);
            }
        };
        self.instance.spawn("target_end", check);
    }

    /// Records that a target ended. Only fragments of a prompt on which it had not written more than the first events
    /// can be the cause.
    pub(in crate::entry) fn record_end(&self, target: &Target, has_progress: bool) {
        let (instance, request) = (&self.instance, &self.request);
        if has_progress || self.fragments.is_empty() {
            let now = instance.clock.now();
            instance.update_quarantine(|quarantine| quarantine.record_end(target.key(), now));
        } else {
            instance.record_end(request, &self.fragments, target);
        }
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
        self.update_quarantine(|quarantine| quarantine.record_crash(fragments, target.key(), now));
        self.request_heartbeat();
    }
}
