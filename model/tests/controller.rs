//! Exhaustive search of the controller protocol.

use jujubehook_model::controller::cases;

/// Guards against orders of an old controller that overwrite newer ones, and against a guard or an invariant that has
/// no effect.
#[test]
fn orders_hold() {
    std::thread::scope(|scope| {
        for case in cases() {
            scope.spawn(move || {
                let outcome = case.run();
                println!("{} {outcome}", case.name);
                assert!(case.is_met_by(&outcome), "{}: {outcome}", case.name);
            });
        }
    });
}
