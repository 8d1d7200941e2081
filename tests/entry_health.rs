//! Guards against work for targets that fail, against targets that are never used again, and against one instance's
//! view of a cut that takes sound targets from others.

mod entry_fixtures;

use std::time::Duration;

use entry_fixtures::ms;
use jujubehook::entry::{Health, Reachability, Slowdowns};

/// A target that answers one request in seven with an error of its own is not avoided.
#[test]
fn usual_errors_are_borne() {
    let mut health = Health::default();
    for number in 0..700 {
        health.record(1, number % 7 != 0, ms(number));
        assert!(!health.is_suspect(1, ms(number)), "after {number} answers");
    }
}

/// A target that fails nearly all requests is avoided after a few, and used again later.
#[test]
fn failing_is_avoided() {
    let mut health = Health::default();
    let mut now = ms(0);
    while !health.is_suspect(1, now) {
        health.record(1, false, now);
        now += ms(10);
        assert!(now < ms(100), "not avoided");
    }
    assert!(!health.is_suspect(1, now + Duration::from_secs(10)));
}

/// A target that was not reached stays out until a connection is accepted.
#[test]
fn lost_until_reached() {
    let mut health = Health::default();
    health.mark_unreachable(1, ms(0));
    assert!(health.is_suspect(1, Duration::from_secs(60)));
    health.mark_reachable(1);
    assert!(!health.is_suspect(1, ms(1)));
}

/// What an instance heard from another is not told on: two instances would keep it alive for ever.
#[test]
fn hearsay_ends() {
    let mut health = Health::default();
    health.receive(1, ms(500), ms(0));
    assert!(health.is_suspect(1, ms(400)));
    assert!(health.suspects(ms(400)).is_empty());
    assert!(!health.is_suspect(1, ms(501)));
}

/// One lost target is no cut; two of a domain are, until one of them is reached.
#[test]
fn two_lost_are_a_cut() {
    let mut reachability = Reachability::default();
    assert!(!reachability.mark_unreachable("north", 1, ms(0)));
    assert!(!reachability.mark_unreachable("north", 1, ms(10)));
    assert!(!reachability.is_unreachable("north"));
    assert!(reachability.mark_unreachable("north", 2, ms(20)));
    assert!(reachability.is_unreachable("north") && !reachability.is_unreachable("south"));
    assert!(reachability.mark_reachable("north"));
    assert!(!reachability.is_unreachable("north"));
}

/// Reading of other requests stretches some pauses; only an engine that stretches nearly all of them is slow.
#[test]
fn pace_follows_low_pauses() {
    let mut slowdowns = Slowdowns::default();
    let mut now = ms(0);
    for number in 0..200 {
        now += ms(50);
        let pause = if number % 2 == 0 { ms(300) } else { ms(47) };
        slowdowns.record(1, pause, ms(45), now);
        slowdowns.record(2, ms(225), ms(45), now);
    }
    assert!(
        slowdowns.factor(1, now) < 1.8,
        "{}",
        slowdowns.factor(1, now)
    );
    assert!(
        slowdowns.factor(2, now) > 3.0,
        "{}",
        slowdowns.factor(2, now)
    );
    assert_eq!(slowdowns.factor(2, now + Duration::from_secs(4)), 1.0);
}
