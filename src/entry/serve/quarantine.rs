use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::outcome::GivenUp;
use super::Exchange;
use crate::entry::{FragmentKey, Instance, Quarantine, Request};
use crate::error::Kind;
use crate::event;

/// The id of the fragment with this key, as the caller names it.
fn id<'a>(request: &'a Request, fragments: &[FragmentKey], key: FragmentKey) -> &'a str {
    let at = fragments.iter().position(|fragment| *fragment == key);
    let id = at.and_then(|at| request.shared_fragments.get(at));
    id.map_or("", String::as_str)
}

impl Exchange {
    /// The error for a request with a restricted fragment, checked before each send. A request that is sent as a trial
    /// begins it.
    pub(super) fn check_fragments(&self) -> Option<GivenUp> {
        let instance = &self.instance;
        let is_banned = instance.is_banned(&self.request, &self.fragments);
        let held = self.hold_time();
        if is_banned || held.is_some() {
            // An earlier send may have run, so the error must not report that the request was not run.
            let kind = match (self.ran.is_empty(), is_banned) {
                (true, true) => Kind::FragmentBanned,
                (true, false) => Kind::Overloaded,
                (false, _) => Kind::UpstreamFailed,
            };
            return Some(GivenUp {
                answered: None,
                kind,
                retry: held.filter(|_| kind == Kind::Overloaded),
            });
        }
        let mut quarantine = instance.quarantine.borrow_mut();
        if let Some(restricted) = quarantine.restricted(&self.fragments) {
            quarantine.begin_trial(&self.fragments, instance.clock.now());
            event!(
                warn,
                instance.source,
                "fragment_tried",
                request = self.request.id.as_str(),
                fragment = id(&self.request, &self.fragments, restricted)
            );
            instance.request_heartbeat();
        }
        None
    }

    /// Whether the request is sent as a trial of a fragment, if it is sent.
    pub(super) fn is_trial(&self) -> bool {
        let quarantine = self.instance.quarantine.borrow();
        quarantine.restricted(&self.fragments).is_some()
    }

    /// Takes back the trial that the last send was, since no target ran it.
    pub(super) fn cancel_trial(&self) {
        let instance = &self.instance;
        let mut quarantine = instance.quarantine.borrow_mut();
        quarantine.cancel_trial(&self.fragments, instance.clock.now());
    }

    /// Time for which the request has to wait for the trials of a suspected fragment; none if it may be sent.
    pub(super) fn hold_time(&self) -> Option<Duration> {
        let instance = &self.instance;
        let quarantine = instance.quarantine.borrow();
        if quarantine.banned(&self.fragments).is_some() {
            return None;
        }
        let left = quarantine.time_to_trial(&self.fragments, instance.clock.now());
        (!left.is_zero()).then_some(left)
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
    /// Whether a request with these fragments must not be sent because one of them is banned. Only one instance sends the
    /// trials of a banned fragment.
    pub(super) fn is_banned(&self, request: &Request, fragments: &[FragmentKey]) -> bool {
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

    /// Changes what is known of fragments, and logs those that are suspected or banned from now on.
    pub(in crate::entry) fn update_quarantine(&self, update: impl FnOnce(&mut Quarantine)) {
        let (before, after) = {
            let mut quarantine = self.quarantine.borrow_mut();
            let before = quarantine.all_restricted();
            update(&mut quarantine);
            (before, quarantine.all_restricted())
        };
        for (fragment, is_banned) in after {
            let known = before.binary_search_by_key(&fragment, |(known, _)| *known);
            let was_banned = known.is_ok_and(|at| before[at].1);
            if known.is_ok() && is_banned == was_banned {
                continue;
            }
            // The targets that ended near the fragment.
            let targets = self.quarantine.borrow().crash_targets(fragment);
            let targets: Vec<String> = targets.iter().map(|key| format!("{key:x}")).collect();
            let (fragment, crashes) = (event::hex(fragment), targets.len());
            let targets = targets.join(",");
            if is_banned {
                event!(
                    warn,
                    self.source,
                    "fragment_banned",
                    fragment = fragment,
                    crashes = crashes,
                    targets = targets
                );
            } else {
                event!(
                    warn,
                    self.source,
                    "fragment_suspected",
                    fragment = fragment,
                    crashes = crashes,
                    targets = targets
                );
            }
        }
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
