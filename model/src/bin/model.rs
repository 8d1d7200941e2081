//! Searches all specifications and mutants and prints one line for each.

use std::process::ExitCode;

use jujubehook_model::{claim, gang, record, Outcome};

/// Word in the names of specifications with a disabled guard, for which the search must find a violation.
const MUTANT: &str = "mutant";

fn main() -> ExitCode {
    let mut failed = 0;
    for case in jujubehook_model::cases() {
        let outcome = case.run();
        failed += print_result(&case.name, case.is_met_by(&outcome), &outcome);
    }
    let searches = [
        claim::specifications,
        record::specifications,
        gang::specifications,
    ];
    for (name, outcome) in searches.iter().flat_map(|search| search()) {
        let is_met = outcome.counterexample.is_some() == name.contains(MUTANT);
        failed += print_result(&name, is_met, &outcome);
    }
    ExitCode::from(u8::from(failed > 0))
}

/// Prints one result and returns 1 if it is not as expected, 0 otherwise.
fn print_result(name: &str, is_met: bool, outcome: &Outcome) -> u32 {
    let verdict = if is_met { "expected" } else { "UNEXPECTED" };
    println!("case=\"{name}\" verdict={verdict} {outcome}");
    u32::from(!is_met)
}
