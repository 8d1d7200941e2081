use std::rc::Rc;
use std::time::Duration;

use smol::Timer;

use super::{Instance, Target};
use crate::event;

/// Time between two looks at what was lost: a connection attempt each, so that no caller's request has to find out.
const INTERVAL: Duration = Duration::from_millis(300);

/// Looks after lost targets and cut domains until the process ends.
pub(super) async fn run(instance: Rc<Instance>) {
    loop {
        Timer::after(INTERVAL).await;
        for target in lost(&instance) {
            let executor = instance.executor.clone();
            let instance = instance.clone();
            executor
                .spawn(async move { look(&instance, &target).await })
                .detach();
        }
    }
}

/// The lost targets that are still listed; one of each domain that counts as cut off.
fn lost(instance: &Instance) -> Vec<Rc<Target>> {
    let (directory, health) = (instance.directory.borrow(), instance.health.borrow());
    let reach = instance.reach.borrow();
    let mut cut = reach.cut();
    let mut targets: Vec<Rc<Target>> = directory
        .targets()
        .filter(|target| !target.draining && health.is_lost(target.key()))
        .cloned()
        .collect();
    fastrand::shuffle(&mut targets);
    targets.retain(|target| {
        if !reach.is_cut(&target.domain) {
            return true;
        }
        // The first of a cut domain stands for all of them.
        let first = cut.iter().position(|domain| *domain == target.domain);
        first.map(|at| cut.swap_remove(at)).is_some()
    });
    targets
}

async fn look(instance: &Instance, target: &Target) {
    if instance.targets.reach(target.address).await {
        instance.reached(target);
    } else {
        let now = instance.clock.now();
        instance.health.borrow_mut().lose(target.key(), now);
        event!(
            debug,
            instance.source,
            "still_lost",
            target = target.id.as_str()
        );
    }
}
