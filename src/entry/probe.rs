use std::rc::Rc;
use std::time::Duration;

use smol::Timer;

use super::platform::Presence;
use super::{Instance, Target};
use crate::event;

/// Time between two probes of unreachable targets. A probe is a connection attempt, so no caller's request has to try
/// them.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

impl Instance {
    /// Asks whether the process of a target runs; if another one has its address, the target is ejected.
    pub(super) async fn presence(&self, target: &Target) -> Presence {
        let presence = self.targets.presence(target).await;
        match presence {
            Presence::Running => {}
            Presence::Replaced => {
                let now = self.clock.now();
                self.health.borrow_mut().eject(target.key(), now);
            }
            // The connection on which it was asked may be dead.
            Presence::Silent => self.targets.discard(target.address),
        }
        presence
    }
}

/// Probes unreachable targets and domains until the process ends.
pub(super) async fn run(instance: Rc<Instance>) {
    loop {
        Timer::after(PROBE_INTERVAL).await;
        for target in unreachable_targets(&instance) {
            let spawner = instance.clone();
            let instance = instance.clone();
            spawner.spawn("probe", async move { probe(&instance, &target).await });
        }
    }
}

/// The unreachable targets to probe: all that are still listed, but only one of each unreachable domain.
fn unreachable_targets(instance: &Instance) -> Vec<Rc<Target>> {
    let (directory, health) = (instance.directory.borrow(), instance.health.borrow());
    let reachability = instance.reachability.borrow();
    let mut unreachable = reachability.unreachable();
    let mut targets: Vec<Rc<Target>> = directory
        .targets()
        .filter(|target| !target.draining && health.is_unreachable(target.key()))
        .cloned()
        .collect();
    fastrand::shuffle(&mut targets);
    targets.retain(|target| {
        if !reachability.is_unreachable(&target.domain) {
            return true;
        }
        // One target is probed for the whole domain.
        let first = unreachable
            .iter()
            .position(|domain| *domain == target.domain);
        first.map(|at| unreachable.swap_remove(at)).is_some()
    });
    targets
}

async fn probe(instance: &Instance, target: &Target) {
    if instance.targets.probe(target.address).await {
        instance.mark_reachable(target);
    } else {
        let now = instance.clock.now();
        instance
            .health
            .borrow_mut()
            .mark_unreachable(target.key(), now);
        event!(
            debug,
            instance.source,
            "still_lost",
            target = target.id.as_str()
        );
    }
}
