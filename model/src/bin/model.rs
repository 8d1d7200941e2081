//! Searches all specifications and mutants and prints one line for each.

use std::process::ExitCode;
use std::time::Instant;

fn main() -> ExitCode {
    let mut failed = 0;
    for case in jujubehook_model::all() {
        let start = Instant::now();
        let outcome = case.run();
        let met = case.is_met_by(&outcome);
        failed += u32::from(!met);
        let verdict = if met { "expected" } else { "UNEXPECTED" };
        let millis = start.elapsed().as_millis();
        println!(
            "case=\"{}\" verdict={verdict} ms={millis} {outcome}",
            case.name
        );
    }
    ExitCode::from(u8::from(failed > 0))
}
