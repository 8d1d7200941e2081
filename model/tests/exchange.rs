//! Guards against removals and newer values that are lost between entry instances, and against guards without effect.

use jujubehook_model::exchange::cases;

#[test]
fn exchange() {
    for case in cases() {
        let outcome = case.run();
        println!("{}: {outcome}", case.name);
        assert!(case.is_met_by(&outcome), "{}: {outcome}", case.name);
    }
}
