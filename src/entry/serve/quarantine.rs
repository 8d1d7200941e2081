use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::outcome::GivenUp;
use super::Exchange;
use crate::entry::{FragmentKey, Instance, Request};
use crate::error::Kind;
use crate::event;

/// The id of the fragment with this key, as the caller names it.
fn id<'a>(request: &'a Request, fragments: &[FragmentKey], key: FragmentKey) -> &'a str {
    let at = fragments.iter().position(|fragment| *fragment == key);
    let id = at.and_then(|at| request.shared_fragments.get(at));
    id.map_or("", String::as_str)
}

impl Exchange {
    /// The error for a request with a fragment that is banned, checked before each send. A request that is sent as a
    /// trial begins it.
    pub(super) fn check_fragments(&self) -> Option<GivenUp> {
        let instance = &self.instance;
        if instance.is_refused(&self.request, &self.fragments) {
            // An earlier send may have run, so the error must not report that the request was not run.
            let kind = match self.ran.is_empty() {
                true => Kind::FragmentBanned,
                false => Kind::UpstreamFailed,
            };
            return Some(GivenUp {
                answered: None,
                kind,
                retry: None,
            });
        }
        let mut quarantine = instance.quarantine.borrow_mut();
        if let Some(banned) = quarantine.banned(&self.fragments) {
            quarantine.begin_trial(&self.fragments, instance.clock.now());
            event!(
                warn,
                instance.source,
                "fragment_tried",
                request = self.request.id.as_str(),
                fragment = id(&self.request, &self.fragments, banned)
            );
            instance.request_heartbeat();
        }
        None
    }

    /// Records that a target wrote an answer on the fragments of the prompt.
    pub(in crate::entry) fn record_answer(&self) {
        let instance = &self.instance;
        let now = instance.clock.now();
        let mut quarantine = instance.quarantine.borrow_mut();
        quarantine.record_answer(&self.fragments, now);
    }
}

impl Instance {
    /// Whether a request with these fragments must not be sent. Only one instance sends trials.
    pub(super) fn is_refused(&self, request: &Request, fragments: &[FragmentKey]) -> bool {
        let quarantine = self.quarantine.borrow();
        let Some(banned) = quarantine.banned(fragments) else {
            return false;
        };
        if quarantine.is_trial_due(fragments, self.clock.now()) && self.owns_trials(banned) {
            return false;
        }
        event!(
            self.source,
            "fragment_refused",
            request = request.id.as_str(),
            fragment = id(request, fragments, banned)
        );
        true
    }

    /// Whether this instance sends the trials of a fragment: of all live instances, it has the highest hash.
    pub(in crate::entry) fn owns_trials(&self, fragment: FragmentKey) -> bool {
        let weight = |name: &str| xxh3_64_with_seed(name.as_bytes(), fragment);
        let own = weight(&self.settings.borrow().instance);
        let members = self.members.borrow();
        let mut live = members.live(self.clock.now());
        live.all(|member| weight(&member.instance) <= own)
    }
}
