//! Exhaustive search of the ownership protocol.

use jujubehook_model::ownership::cases;

/// Runs either the mutants or the specifications with all guards.
fn check(mutants: bool) {
    std::thread::scope(|scope| {
        for case in cases().into_iter().filter(|case| case.mutant == mutants) {
            scope.spawn(move || {
                let outcome = case.run();
                println!("{} {outcome}", case.name);
                assert!(case.is_met_by(&outcome), "{}: {outcome}", case.name);
            });
        }
    });
}

/// Guards against two instances that may dispatch to one target at the same time.
#[test]
fn no_violation() {
    check(false);
}

/// Guards against a guard or an invariant that has no effect.
#[test]
fn guards_needed() {
    check(true);
}
