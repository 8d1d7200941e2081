//! Guards against gaps and double ownership in planned handovers, and against stale grants that take effect.

mod owner_net;

use std::time::Duration;

use jujubehook::owner::{Acquire, Action, Grant, Settings, Table};
use owner_net::Net;

const TARGETS: usize = 16;

#[test]
fn join_moves() {
    let mut net = Net::new(&["a"], TARGETS);
    net.run(4000);
    net.join("b");
    net.gained.clear();
    net.ownerless_steps = 0;
    net.run(4000);
    assert!(net.owned("b") > 0);
    assert_eq!(net.owned("a") + net.owned("b"), TARGETS);
    assert!(net
        .gained
        .iter()
        .all(|(id, _, planned, in_flight)| id == "b" && *planned && *in_flight == 2));
    assert_eq!(
        net.lost.len(),
        net.owned("b"),
        "only the targets that move are lost"
    );
    assert_eq!(net.ownerless_steps, 0);
}

#[test]
fn shutdown_moves() {
    let mut net = Net::new(&["a", "b", "c"], TARGETS);
    net.run(4000);
    let moving = net.owned("c");
    net.gained.clear();
    net.lost.clear();
    net.act("c", |table, now| table.leave(now));
    net.run(1000);
    assert_eq!(net.owned("c"), 0);
    assert_eq!(net.owned("a") + net.owned("b"), TARGETS);
    assert_eq!(net.gained.len(), moving);
    assert!(net.gained.iter().all(|(_, _, planned, _)| *planned));
    net.nodes.remove("c");
    net.run(4000);
    assert_eq!(
        net.lost.len(),
        moving,
        "the exit after the handover moves no target"
    );
}

#[test]
fn leave_alone() {
    let mut net = Net::new(&["a"], TARGETS);
    net.run(4000);
    net.act("a", |table, now| table.leave(now));
    net.run(1000);
    assert_eq!(
        net.owned("a"),
        TARGETS,
        "an owner without a successor keeps its targets"
    );
    net.act("a", |table, now| table.set_targets(vec!["t1".into()], now));
    assert_eq!(net.lost.len(), TARGETS - 1);
}

#[test]
fn lost_requests() {
    let mut net = Net::new(&["a", "b", "c"], TARGETS);
    net.run(4000);
    net.join("b");
    net.run(2500);
    net.cut("b", "c");
    net.run(1000);
    net.cuts.clear();
    net.run(1000);
    assert_eq!(net.owned("a") + net.owned("b") + net.owned("c"), TARGETS);
}

/// Returns the tables of `a` and `b`, the first request for grants by a settled `b`, and its time.
fn first_request() -> (Table, Table, Acquire, Duration) {
    let at = |step: u32| Duration::from_millis(100) * step;
    let mut a = Table::new("a".into(), 1, Settings::default(), at(0));
    let mut b = Table::new("b".into(), 2, Settings::default(), at(0));
    let targets: Vec<String> = (0..8).map(|index| format!("t{index}")).collect();
    a.set_targets(targets.clone(), at(0));
    b.set_targets(targets, at(0));
    for step in 1..100 {
        let heartbeat = b.next_heartbeat(&"a".into(), at(step));
        a.receive_heartbeat(&heartbeat, at(step));
        let heartbeat = a.next_heartbeat(&"b".into(), at(step));
        b.receive_heartbeat(&heartbeat, at(step));
        a.tick(at(step));
        for action in b.tick(at(step)) {
            if let Action::Acquire { message, .. } = action {
                return (a, b, message, at(step));
            }
        }
    }
    panic!("no request for grants");
}

fn gained(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, Action::Gained { .. }))
        .count()
}

#[test]
fn stale_grants() {
    let (mut a, b, message, now) = first_request();
    let (grant, _) = a.answer_acquire(&message, |_| 0, now);
    let count = grant.targets.len();
    assert!(count > 0);
    let mut stale_grants = vec![
        Grant {
            incarnation: 9,
            ..grant.clone()
        },
        Grant {
            to_incarnation: 9,
            ..grant.clone()
        },
        Grant {
            to: "c".into(),
            ..grant.clone()
        },
        Grant {
            from: "c".into(),
            ..grant.clone()
        },
        grant.clone(),
    ];
    for target_grant in &mut stale_grants[4].targets {
        target_grant.sequence += 1;
    }
    for stale in stale_grants {
        let mut b = b.clone();
        assert_eq!(gained(&b.receive_grant(&stale, now)), 0, "{stale:?}");
    }
    let mut b = b.clone();
    assert_eq!(gained(&b.receive_grant(&grant, now)), count);
    assert_eq!(
        gained(&b.receive_grant(&grant, now)),
        0,
        "a repeated grant has no effect"
    );
}

#[test]
fn refused_unknown_peers() {
    let (mut a, _, message, now) = first_request();
    let restarted = Acquire {
        incarnation: 9,
        ..message.clone()
    };
    let unknown = Acquire {
        from: "c".into(),
        ..message.clone()
    };
    for request in [restarted, unknown] {
        assert!(a.answer_acquire(&request, |_| 0, now).0.targets.is_empty());
    }
}

#[test]
fn new_instance_grants() {
    let (_, mut b, mut message, now) = first_request();
    let mut new = Table::new("a".into(), 3, Settings::default(), now);
    let heartbeat = b.next_heartbeat(&"a".into(), now);
    new.receive_heartbeat(&heartbeat, now);
    let (grant, _) = new.answer_acquire(&message, |_| 0, now);
    assert_eq!(
        grant.targets,
        [],
        "a new instance may not know of earlier grants"
    );
    for request in &mut message.targets {
        request.owned = true;
    }
    let (grant, _) = new.answer_acquire(&message, |_| 0, now);
    assert_eq!(
        grant.targets.len(),
        message.targets.len(),
        "an instance that owns the targets already may register"
    );
    let owner = new.owner(&message.targets[0].target, now);
    assert_eq!(owner, Some("b".into()));
}
