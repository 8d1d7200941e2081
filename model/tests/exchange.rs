//! Exhaustive search of the exchange of topics between entry instances.

use jujubehook_model::exchange::cases;

/// Guards against removals and newer values that get lost between entry instances, and against a guard or an invariant
/// that has no effect.
#[test]
fn exchange() {
    for case in cases() {
        let outcome = case.run();
        println!("{}: {outcome}", case.name);
        assert!(case.is_met_by(&outcome), "{}: {outcome}", case.name);
    }
}
