//! Exhaustive search of the gang protocol.

use jujubehook_model::gang;

/// Guards against a fault in the protocol, and against a guard or an invariant that has no effect.
#[test]
fn gang() {
    for (name, outcome) in gang::specifications() {
        println!("{name}: {outcome}");
        assert_eq!(
            outcome.counterexample.is_some(),
            name.contains("mutant"),
            "{name}: {outcome}"
        );
    }
}
