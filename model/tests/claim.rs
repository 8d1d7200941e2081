//! Exhaustive search of the claim protocol.

use jujubehook_model::claim;

/// Guards against a fault in the protocol, and against a guard or an invariant that has no effect.
#[test]
fn claim() {
    for (name, outcome) in claim::specifications() {
        println!("{name}: {outcome}");
        assert_eq!(
            outcome.counterexample.is_some(),
            name.contains("mutant"),
            "{name}: {outcome}"
        );
    }
}
