use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::outcome::GivenUp;
use super::Exchange;
use crate::entry::{Instance, PartKey, Request};
use crate::error::Kind;
use crate::event;

/// The id of the part with this key, as the caller names it.
fn id<'a>(request: &'a Request, parts: &[PartKey], key: PartKey) -> &'a str {
    let at = parts.iter().position(|part| *part == key);
    let id = at.and_then(|at| request.shared_parts.get(at));
    id.map_or("", String::as_str)
}

impl Exchange {
    /// The error for a request with a part that is held back, checked before each send. A request that is sent as a
    /// trial begins it.
    pub(super) fn check_parts(&self) -> Option<GivenUp> {
        let instance = &self.instance;
        if instance.is_refused(&self.request, &self.parts) {
            // An earlier send may have run, so the error must not report that the request was not run.
            let kind = match self.runs {
                0 => Kind::PartQuarantined,
                _ => Kind::UpstreamFailed,
            };
            return Some(GivenUp {
                answered: None,
                kind,
                retry: None,
            });
        }
        let mut quarantine = instance.quarantine.borrow_mut();
        if let Some(held) = quarantine.held(&self.parts) {
            quarantine.begin_trial(&self.parts, instance.clock.now());
            event!(
                warn,
                instance.source,
                "part_tried",
                request = self.request.id.as_str(),
                part = id(&self.request, &self.parts, held)
            );
            instance.request_heartbeat();
        }
        None
    }

    /// Records that a target wrote an answer on the parts of the prompt.
    pub(in crate::entry) fn record_answer(&self) {
        let instance = &self.instance;
        let now = instance.clock.now();
        let mut quarantine = instance.quarantine.borrow_mut();
        quarantine.record_answer(&self.parts, now);
    }
}

impl Instance {
    /// Whether a request with these parts must not be sent. Only one instance sends trials.
    pub(super) fn is_refused(&self, request: &Request, parts: &[PartKey]) -> bool {
        let quarantine = self.quarantine.borrow();
        let Some(held) = quarantine.held(parts) else {
            return false;
        };
        if quarantine.is_trial_due(parts, self.clock.now()) && self.owns_trials(held) {
            return false;
        }
        event!(
            self.source,
            "part_refused",
            request = request.id.as_str(),
            part = id(request, parts, held)
        );
        true
    }

    /// Whether this instance sends the trials of a part: of all live instances, it has the highest hash.
    pub(in crate::entry) fn owns_trials(&self, part: PartKey) -> bool {
        let weight = |name: &str| xxh3_64_with_seed(name.as_bytes(), part);
        let own = weight(&self.settings.borrow().instance);
        let members = self.members.borrow();
        let mut live = members.live(self.clock.now());
        live.all(|member| weight(&member.instance) <= own)
    }
}
