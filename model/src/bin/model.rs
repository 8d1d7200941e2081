//! Searches all specifications and mutants and prints one line for each.

use std::process::ExitCode;

use jujubehook_model::{claim, gang, record, Outcome};

/// Part of the name of a specification with a guard removed, for which the search must find a violation.
const MUTANT: &str = "mutant";

fn main() -> ExitCode {
    let mut failed = 0;
    for case in jujubehook_model::all() {
        let outcome = case.run();
        failed += show(&case.name, case.is_met_by(&outcome), &outcome);
    }
    let searches = [
        claim::specifications,
        record::specifications,
        gang::specifications,
    ];
    for (name, outcome) in searches.iter().flat_map(|search| search()) {
        let met = outcome.counterexample.is_some() == name.contains(MUTANT);
        failed += show(&name, met, &outcome);
    }
    ExitCode::from(u8::from(failed > 0))
}

fn show(name: &str, met: bool, outcome: &Outcome) -> u32 {
    let verdict = if met { "expected" } else { "UNEXPECTED" };
    println!("case=\"{name}\" verdict={verdict} {outcome}");
    u32::from(!met)
}
