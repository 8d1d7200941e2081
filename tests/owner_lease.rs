//! Guards against ownership that outlives its lease, and against targets that remain without an owner.

mod owner_net;

use std::time::Duration;

use jujubehook::owner::{Heartbeat, Settings, Table};
use owner_net::Net;

const TARGETS: usize = 16;

#[test]
fn single_instance() {
    let mut net = Net::new(&["a"], TARGETS);
    net.run(2900);
    assert_eq!(net.owned("a"), 0);
    net.run(200);
    assert_eq!(net.owned("a"), TARGETS);
    assert_eq!(
        net.nodes["a"].owner(&"t0".into(), net.now()),
        Some("a".into())
    );
    assert!(!net.nodes["a"].may_dispatch(&"other".into(), net.now()));
}

#[test]
fn two_share() {
    let mut net = Net::new(&["a", "b"], TARGETS);
    net.run(4000);
    let (a, b) = (net.owned("a"), net.owned("b"));
    assert_eq!(a + b, TARGETS);
    assert!(a > 0 && b > 0, "{a} and {b}");
    for target in 0..TARGETS {
        let target = format!("t{target}");
        let owners = net.owners(&target);
        for table in net.nodes.values() {
            assert_eq!(table.owner(&target, net.now()).as_ref(), owners.first());
        }
    }
}

#[test]
fn crash_takeover() {
    let mut net = Net::new(&["a", "b", "c"], TARGETS);
    net.run(4000);
    let left = TARGETS - net.owned("c");
    net.nodes.remove("c");
    net.gained.clear();
    net.run(2400);
    assert_eq!(
        net.owned("a") + net.owned("b"),
        left,
        "the other instances keep their targets"
    );
    net.run(1200);
    assert_eq!(net.owned("a") + net.owned("b"), TARGETS);
    assert!(net.gained.iter().all(|(_, _, planned, _)| !planned));
    assert_eq!(net.nodes["a"].live(net.now()), ["b"]);
}

#[test]
fn restart_waits() {
    let mut net = Net::new(&["a", "b"], TARGETS);
    net.run(4000);
    let before = net.owned("a");
    net.join("a");
    net.run(2900);
    assert_eq!(net.owned("a"), 0, "a new incarnation is in quarantine");
    net.run(700);
    assert_eq!(net.owned("a"), before);
    assert_eq!(net.owned("b"), TARGETS - before);
}

#[test]
fn pause_ends_ownership() {
    for millis in [1200, 2800, 3100, 5000] {
        let mut net = Net::new(&["a", "b"], TARGETS);
        net.run(4000);
        let before = net.owned("a");
        net.paused.insert("a".into());
        net.run(millis);
        net.paused.clear();
        assert!(
            !net.nodes["a"].may_dispatch(&"t0".into(), net.now()),
            "pause {millis}"
        );
        net.run(2500);
        assert_eq!(net.owned("a"), 0, "pause {millis}");
        net.run(1200);
        assert_eq!(net.owned("a"), before, "pause {millis}");
        assert_eq!(net.owned("a") + net.owned("b"), TARGETS);
    }
}

#[test]
fn short_pause() {
    let mut net = Net::new(&["a", "b"], TARGETS);
    net.run(4000);
    net.lost.clear();
    net.paused.insert("a".into());
    net.run(900);
    net.paused.clear();
    net.run(3000);
    assert_eq!(net.lost, []);
}

#[test]
fn one_way_cut() {
    for (from, to) in [("a", "b"), ("b", "a")] {
        let mut net = Net::new(&["a", "b"], TARGETS);
        net.run(4000);
        net.cut(from, to);
        net.run(8000);
        net.cuts.clear();
        net.run(4000);
        assert_eq!(net.owned("a") + net.owned("b"), TARGETS);
    }
}

#[test]
fn isolated_instance_stops() {
    let mut net = Net::new(&["a", "b", "c"], TARGETS);
    net.run(4000);
    net.cut("a", "b");
    net.run(8000);
    assert_eq!(net.owned("a"), 0, "`b` gets no heartbeats of `a`");
    assert_eq!(net.owned("b") + net.owned("c"), TARGETS);
}

#[test]
fn pair_cut() {
    let mut net = Net::new(&["a", "b", "c"], TARGETS);
    net.run(4000);
    net.cut("a", "b");
    net.cut("b", "a");
    net.run(8000);
    net.join("c");
    net.run(8000);
    net.cuts.clear();
    net.run(4000);
    assert_eq!(net.owned("a") + net.owned("b") + net.owned("c"), TARGETS);
}

#[test]
fn stale_heartbeats() {
    let mut table = Table::new("a".into(), 1, Settings::default(), Duration::ZERO);
    let heartbeat = |incarnation, sequence, offset| Heartbeat {
        dropped: 0,
        echo: 0,
        echo_incarnation: 0,
        from: "b".into(),
        incarnation,
        leaving: false,
        offset,
        sequence,
        settled: true,
        time: 0,
    };
    for second in 0..=3 {
        let now = Duration::from_secs(second);
        table.tick(now);
        match second {
            0 => table.receive_heartbeat(&heartbeat(7, 4, 10), now),
            1 => table.receive_heartbeat(&heartbeat(8, 1, 20), now),
            2 => table.receive_heartbeat(&heartbeat(7, 5, 30), now),
            _ => table.receive_heartbeat(&heartbeat(8, 1, 40), now),
        };
    }
    assert_eq!(
        table.peer_ahead(19, Duration::from_secs(3)),
        Some("b".into())
    );
    assert_eq!(table.peer_ahead(20, Duration::from_secs(3)), None);
    assert!(
        table.live(Duration::from_secs(4)).is_empty(),
        "stale heartbeats do not renew the lease"
    );
}

#[test]
fn forgotten_peer() {
    let mut a = Table::new("a".into(), 1, Settings::default(), Duration::ZERO);
    let mut b = Table::new("b".into(), 2, Settings::default(), Duration::ZERO);
    let mut now = Duration::ZERO;
    for _ in 0..5 {
        let heartbeat = a.next_heartbeat(&"b".into(), now);
        b.receive_heartbeat(&heartbeat, now);
    }
    for _ in 0..700 {
        now += Duration::from_millis(100);
        a.tick(now);
        b.tick(now);
        b.next_heartbeat(&"a".into(), now);
    }
    let heartbeat = a.next_heartbeat(&"b".into(), now);
    b.receive_heartbeat(&heartbeat, now);
    assert_eq!(
        b.live(now),
        ["a"],
        "heartbeat numbers continue after the peer was removed"
    );
}
