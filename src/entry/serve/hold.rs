use std::time::Duration;

use super::find::CLAIM_DELAY;
use super::{Exchange, InFlight};
use crate::entry::{place_held, Choice, Placement, TargetKey};
use crate::event;

/// Time beyond the predicted end of earlier work after which targets are held no longer.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Targets that are held for a request until earlier work there has ended; released on drop.
pub(super) struct Hold {
    expires: Duration,
    in_flight: InFlight,
    targets: Vec<TargetKey>,
}

impl Drop for Hold {
    fn drop(&mut self) {
        // Others may use the targets as soon as they hear of it.
        self.in_flight.instance.request_heartbeat();
    }
}

impl Exchange {
    /// Holds the targets of a placement, and announces that to the other instances.
    pub(super) fn hold(&self, placement: &Placement) -> Hold {
        let instance = &self.instance;
        let now = instance.clock.now();
        let in_flight = self.start(placement, true, fastrand::u32(..));
        instance.request_heartbeat();
        let helpers = placement.helpers.iter().map(|helper| &helper.target);
        let targets = helpers.chain([&placement.primary]);
        event!(
            instance.source,
            "hold",
            request = self.request.id.as_str(),
            targets = placement.helpers.len() + 1,
            part_ms = placement.part_time.as_millis() as u64,
            predicted_ms = placement.wait.as_millis() as u64
        );
        Hold {
            expires: now + placement.wait.saturating_sub(placement.part_time) + MAX_DELAY,
            in_flight,
            targets: targets.map(|target| target.key()).collect(),
        }
    }

    /// Whether the request may hold engines. A resumed stream and a trial are restricted to some engines.
    pub(super) fn may_hold(&self) -> bool {
        !self.resumes && !self.is_trial()
    }

    /// What to do with a request for which targets are held; `Choice::Wait` if the hold ends.
    pub(super) fn choose_held(&self, hold: &Hold) -> Choice {
        let instance = &self.instance;
        let now = instance.clock.now();
        let number = hold.in_flight.number;
        let Some(profile) = &self.service.profile else {
            return Choice::Wait;
        };
        let is_withdrawn = instance.view.borrow().gives_way(number, CLAIM_DELAY);
        let choice = if is_withdrawn || now >= hold.expires || !self.may_hold() {
            Choice::Wait
        } else {
            let engines = instance.engines_without(&self.service, &self.tried, number);
            let requirements = self.requirements(&engines, now);
            place_held(&requirements, profile, &engines, &hold.targets)
        };
        if matches!(choice, Choice::Wait) {
            event!(
                instance.source,
                "hold_end",
                request = self.request.id.as_str(),
                withdrawn = is_withdrawn,
                expired = now >= hold.expires
            );
        }
        choice
    }
}
