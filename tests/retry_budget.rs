//! Retry budget and outlier ejection.

use std::time::Duration;

use jujubehook::retry::{Budget, Outlier};

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against retries that multiply an overload, and against a budget that refuses what it has.
#[test]
fn retries_are_a_share() {
    let mut budget = Budget::new(0.2, 10.0);
    let mut retries = 0;
    for attempt in 0..1_000 {
        budget.attempt();
        retries += [budget.spend(), budget.spend()]
            .iter()
            .filter(|spent| **spent)
            .count();
        assert!(retries <= 10 + attempt / 5);
    }
    assert!(retries >= 209, "{retries}");
}

fn fail(outlier: &mut Outlier, target: &str, times: u32, now: Duration) {
    for _ in 0..times {
        outlier.record(&target.into(), false, now);
    }
}

/// Guards against targets that stay in the choice while they fail, or stay out after they recover.
#[test]
fn failing_target_is_ejected() {
    let mut outlier = Outlier::default();
    let target = "t1".to_string();
    fail(&mut outlier, "t1", 2, at(0));
    outlier.record(&target, true, at(0));
    fail(&mut outlier, "t1", 2, at(0));
    assert!(!outlier.ejected(&target, 4, at(0)));
    fail(&mut outlier, "t1", 1, at(0));
    assert!(outlier.ejected(&target, 4, at(1)));
    assert!(!outlier.ejected(&target, 4, at(2)));
    fail(&mut outlier, "t1", 1, at(2));
    assert!(
        outlier.ejected(&target, 4, at(5)),
        "twice as long after a failed probe"
    );
    assert!(!outlier.ejected(&target, 4, at(6)));
    outlier.record(&target, true, at(6));
    fail(&mut outlier, "t1", 1, at(6));
    assert!(!outlier.ejected(&target, 4, at(6)));
}

/// Guards against a pool without any target after a shared fault.
#[test]
fn never_a_whole_pool() {
    for pool in 1..10 {
        let targets: Vec<String> = (0..pool).map(|index| format!("t{index}")).collect();
        let mut outlier = Outlier::default();
        targets
            .iter()
            .for_each(|target| fail(&mut outlier, target, 5, at(0)));
        let ejected = targets
            .iter()
            .filter(|target| outlier.ejected(target, pool, at(1)));
        assert_eq!(ejected.count(), pool / 2);
    }
}
