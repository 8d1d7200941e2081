//! Guards against two controllers at a time, orders after the end of the lease, and loads faster than the weight store
//! allows.

use std::time::Duration;

use jujubehook::order::{Action, Controller, Lease, Model, Plan, Settings};

/// Simulation of the instances and targets of one domain and their log, in steps of 100 ms.
struct Domain {
    controllers: Vec<Controller>,
    log_down: bool,
    log: Vec<Lease>,
    /// Instance, fencing number, target and time of each order.
    orders: Vec<(usize, u64, String, Duration)>,
    paused: Option<usize>,
    reads: usize,
    step: u32,
    targets: Vec<(String, Option<Model>)>,
}

impl Domain {
    fn new(count: usize, plans: &[Plan]) -> Self {
        let controllers = (0..count)
            .map(|index| {
                let mut controller =
                    Controller::new(format!("i{index}"), 1, Settings::default(), Duration::ZERO);
                controller.set_plans(plans.to_vec());
                controller
            })
            .collect();
        Self {
            controllers,
            log_down: false,
            log: Vec::new(),
            orders: Vec::new(),
            paused: None,
            reads: 0,
            step: 0,
            targets: plans
                .iter()
                .map(|plan| (plan.target.clone(), None))
                .collect(),
        }
    }

    fn now(&self) -> Duration {
        Duration::from_millis(100) * self.step
    }

    fn holders(&self, checks: bool) -> Vec<usize> {
        (0..self.controllers.len())
            .filter(|index| self.controllers[*index].may_order(checks, self.now()))
            .collect()
    }

    fn run(&mut self, millis: u32) {
        for _ in 0..millis / 100 {
            self.step += 1;
            for index in 0..self.controllers.len() {
                if self.paused != Some(index) {
                    self.tick(index);
                }
            }
            assert!(
                self.holders(false).len() < 2,
                "two controllers at {:?}",
                self.now()
            );
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.now();
        let unix = 1_000_000 + now.as_millis() as u64;
        if !self.log_down {
            for (offset, lease) in self.log.iter().enumerate() {
                self.controllers[index].apply(offset as u64 + 1, lease, now);
            }
        }
        for action in self.controllers[index].tick(now, unix) {
            match action {
                Action::Append { lease } if !self.log_down => self.log.push(lease),
                Action::Append { .. } => {}
                Action::Order {
                    fence,
                    load,
                    target,
                } => {
                    self.orders.push((index, fence, target.clone(), now));
                    self.targets
                        .iter_mut()
                        .find(|(id, _)| *id == target)
                        .unwrap()
                        .1 = Some(load);
                }
                Action::Read { target } => {
                    self.reads += 1;
                    let loaded = self
                        .targets
                        .iter()
                        .find(|(id, _)| *id == target)
                        .unwrap()
                        .1
                        .clone();
                    self.controllers[index].observe(&target, loaded, now);
                }
            }
        }
    }
}

fn plan(target: &str, checks_fencing: bool, version: &str) -> Plan {
    Plan {
        checks_fencing,
        load: Model {
            model: "m".into(),
            role: None,
            version: version.into(),
        },
        target: target.into(),
    }
}

#[test]
fn single_holder() {
    let mut domain = Domain::new(3, &[plan("a", true, "1"), plan("b", false, "1")]);
    domain.run(15_500);
    let holders = domain.holders(true);
    assert_eq!(holders.len(), 1);
    assert!(
        domain.holders(false).is_empty(),
        "no orders yet to targets that ignore fencing"
    );
    domain.run(60_000);
    assert_eq!(domain.holders(true), holders, "the holder renews its lease");
    let targets: Vec<&str> = domain
        .orders
        .iter()
        .map(|(_, _, target, _)| target.as_str())
        .collect();
    assert_eq!(targets, ["a", "b"], "one order per target");
    let gap = domain.orders[1].3 - domain.orders[0].3;
    assert!(gap >= Duration::from_secs(11), "{gap:?}");
}

#[test]
fn holder_crash() {
    let mut domain = Domain::new(3, &[plan("a", true, "1"), plan("b", false, "1")]);
    domain.run(40_000);
    let old = domain.holders(false)[0];
    let fence = domain.controllers[old].fence();
    let (orders, reads) = (domain.orders.len(), domain.reads);
    domain.paused = Some(old);
    domain.run(40_000);
    let new = domain.holders(false)[0];
    assert_ne!(new, old);
    assert!(domain.controllers[new].fence() > fence);
    assert_eq!(
        domain.orders.len(),
        orders,
        "the new holder repeats no order that took effect"
    );
    assert!(
        domain.reads >= reads + 2,
        "the new holder reads every target"
    );
}

#[test]
fn holder_pause() {
    let mut domain = Domain::new(2, &[]);
    domain.run(40_000);
    let holder = domain.holders(false)[0];
    domain.paused = Some(holder);
    domain.run(1200);
    assert!(domain.holders(true).is_empty());
    domain.paused = None;
    domain.run(100);
    assert!(
        domain.holders(true).is_empty(),
        "no orders until a renewal is read back"
    );
    domain.run(4000);
    assert_eq!(domain.holders(true), [holder]);
}

#[test]
fn log_outage() {
    let mut domain = Domain::new(3, &[]);
    domain.run(40_000);
    domain.log_down = true;
    domain.run(9_500);
    assert!(domain.holders(true).is_empty());
    domain.run(60_000);
    assert!(domain.holders(true).is_empty());
    domain.log_down = false;
    domain.run(30_000);
    assert_eq!(domain.holders(false).len(), 1);
}

#[test]
fn first_claim() {
    let mut controller = Controller::new("a".into(), 1, Settings::default(), Duration::ZERO);
    let lease = |holder: &str, fence, start, expiry| Lease {
        expiry,
        fence,
        holder: holder.into(),
        incarnation: 1,
        start,
    };
    let Some(Action::Append { lease: own }) = controller.tick(Duration::from_secs(15), 100).pop()
    else {
        panic!("no claim");
    };
    let now = Duration::from_secs(15);
    controller.apply(3, &own, now);
    assert_eq!(controller.fence(), Some(3));
    assert!(controller.may_order(true, now));
    let rejected = [
        lease("b", 0, own.expiry - 1, own.expiry + 10_000),
        lease("b", 3, 200, own.expiry + 10_000),
        lease("a", 2, 200, own.expiry + 10_000),
        lease("a", 3, own.expiry, own.expiry + 10_000),
    ];
    for (entry, offset) in rejected.iter().zip(4..) {
        controller.apply(offset, entry, now);
        assert_eq!(controller.fence(), Some(3), "{entry:?}");
    }
    controller.apply(3, &lease("b", 0, own.expiry, own.expiry + 10_000), now);
    assert_eq!(controller.fence(), Some(3), "an entry that is read twice");
    controller.apply(9, &lease("b", 0, own.expiry, own.expiry + 10_000), now);
    assert_eq!(controller.fence(), None);
    assert!(!controller.may_order(true, now));
}

#[test]
fn late_readback() {
    let mut controller = Controller::new("a".into(), 1, Settings::default(), Duration::ZERO);
    let Some(Action::Append { lease }) = controller.tick(Duration::from_secs(15), 100).pop() else {
        panic!("no claim");
    };
    let later = Duration::from_secs(24);
    controller.tick(later, 9_100);
    controller.apply(1, &lease, later);
    assert_eq!(controller.fence(), Some(1));
    assert!(
        !controller.may_order(true, later),
        "the lease counts from the time of the append"
    );
}

#[test]
fn paced_loads() {
    let plans: Vec<Plan> = (10..20)
        .map(|index| plan(&format!("t{index}"), true, "1"))
        .collect();
    let mut domain = Domain::new(1, &plans);
    domain.run(45_000);
    let times: Vec<Duration> = domain.orders.iter().map(|(_, _, _, at)| *at).collect();
    assert_eq!(times.len(), plans.len());
    for pair in times.windows(2) {
        assert!(pair[1] - pair[0] >= Duration::from_secs(2), "{times:?}");
    }
}

#[test]
fn order_repeats() {
    let mut domain = Domain::new(1, &[plan("a", true, "1")]);
    domain.run(40_000);
    assert_eq!(domain.orders.len(), 1);
    domain.targets[0].1 = None;
    domain.run(12_000);
    assert_eq!(
        domain.orders.len(),
        2,
        "a target that lost its model gets a new order"
    );
    domain.controllers[0].set_plans(vec![Plan {
        load: Model {
            role: Some("prefill".into()),
            ..plan("a", true, "1").load
        },
        ..plan("a", true, "1")
    }]);
    domain.run(12_000);
    assert_eq!(
        domain.targets[0].1.as_ref().unwrap().role.as_deref(),
        Some("prefill")
    );
}
