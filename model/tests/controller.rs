//! Guards against orders of an old controller that undo newer ones, and against specifications that would not notice a
//! missing guard.

use jujubehook_model::controller::cases;

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
