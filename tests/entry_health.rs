//! Guards against work for failing targets, against targets that are never used again, and against an instance that
//! ejects healthy targets for others because it cannot reach them itself.

mod entry_fixtures;

use std::time::Duration;

use entry_fixtures::ms;
use jujubehook::entry::{Health, Reachability, Slowdowns};

/// A target that answers one request in seven with an error is not ejected.
#[test]
fn usual_errors_are_tolerated() {
    let mut health = Health::default();
    for number in 0..700 {
        health.record(1, number % 7 != 0, ms(number));
        assert!(!health.is_suspect(1, ms(number)), "after {number} answers");
    }
}

/// A target that fails nearly all requests is ejected after a few, and used again later.
#[test]
fn failing_is_ejected() {
    let mut health = Health::default();
    let mut now = ms(0);
    while !health.is_suspect(1, now) {
        health.record(1, false, now);
        now += ms(10);
        assert!(now < ms(100), "not avoided");
    }
    assert!(!health.is_suspect(1, now + Duration::from_secs(10)));
}

/// An unreachable target stays out until it accepts a connection.
#[test]
fn unreachable_until_reached() {
    let mut health = Health::default();
    health.mark_unreachable(1, ms(0));
    assert!(health.is_suspect(1, Duration::from_secs(60)));
    health.mark_reachable(1);
    assert!(!health.is_suspect(1, ms(1)));
}

/// An ejection that another instance reported is not passed on: two instances would keep it alive forever.
#[test]
fn reports_are_not_repeated() {
    let mut health = Health::default();
    health.receive(1, ms(500), ms(0));
    assert!(health.is_suspect(1, ms(400)));
    assert!(health.suspects(ms(400)).is_empty());
    assert!(!health.is_suspect(1, ms(501)));
}

/// A domain counts as unreachable from its second unreachable target on, until one of its targets is reached.
#[test]
fn two_unreachable_cut_domain() {
    let mut reachability = Reachability::default();
    assert!(!reachability.mark_unreachable("north", 1, ms(0)));
    assert!(!reachability.mark_unreachable("north", 1, ms(10)));
    assert!(!reachability.is_unreachable("north"));
    assert!(reachability.mark_unreachable("north", 2, ms(20)));
    assert!(reachability.is_unreachable("north") && !reachability.is_unreachable("south"));
    assert!(reachability.mark_reachable("north"));
    assert!(!reachability.is_unreachable("north"));
}

/// Prefill of other requests stretches some gaps. Only an engine that stretches nearly all gaps counts as slow.
#[test]
fn slowdown_follows_short_gaps() {
    let mut slowdowns = Slowdowns::default();
    let mut now = ms(0);
    for number in 0..200 {
        now += ms(50);
        let gap = if number % 2 == 0 { ms(300) } else { ms(47) };
        slowdowns.record(1, gap, ms(45), now);
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
