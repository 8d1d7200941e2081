//! Exhaustive search of the record protocol.

use jujubehook_model::record;

/// Guards against a fault in the protocol, and against a guard or an invariant that has no effect.
#[test]
fn record() {
    for (name, outcome) in record::specifications() {
        println!("{name}: {outcome}");
        assert_eq!(
            outcome.counterexample.is_some(),
            name.contains("mutant"),
            "{name}: {outcome}"
        );
    }
}
