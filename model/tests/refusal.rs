//! Exhaustive search of a request that may run once before targets that repeat refusals.

use jujubehook_model::refusal::cases;

/// Guards against a refusal that is believed without proof, and against a guard or an invariant that has no effect.
#[test]
fn refusal() {
    for case in cases() {
        let outcome = case.run();
        println!("{}: {outcome}", case.name);
        assert!(case.is_met_by(&outcome), "{}: {outcome}", case.name);
    }
}
