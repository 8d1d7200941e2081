//! Guards against a protocol in which two instances may dispatch to one target, and against specifications that would
//! not notice a missing guard.

use jujubehook_model::ownership::cases;

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

#[test]
fn no_violation() {
    check(false);
}

#[test]
fn guards_needed() {
    check(true);
}
