//! Guards against commands without help, and against error documentation that differs from the code.

use assert_cmd::Command;
use jujubehook::command::COMMANDS;
use jujubehook::error::{Executed, Kind};

const ERRORS: &str = include_str!("../docs/operators/errors.md");

#[test]
fn kinds_are_listed() {
    for kind in Kind::ALL {
        let name = format!("`{}`", kind.name());
        let executed = match kind.executed() {
            Executed::No => "no",
            Executed::Unknown => "unknown",
        };
        let cells = format!("| {} | {executed} |", kind.status());
        let row = ERRORS
            .lines()
            .find(|line| line.starts_with('|') && line.contains(&name));
        assert!(
            row.is_some_and(|row| row.contains(&cells)),
            "{name}: {row:?}"
        );
    }
}

#[test]
fn commands_have_help() {
    assert!(COMMANDS.is_sorted_by_key(|command| command.name));
    for command in COMMANDS {
        let mut run = Command::cargo_bin("jujubehook").unwrap();
        let output = run.args([command.name, "--help"]).output().unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        let usage = format!("Usage: jujubehook {}", command.name);
        assert!(
            output.status.success() && text.starts_with(&usage),
            "{text}"
        );
        assert!(text.contains("Exit codes: 0"), "{text}");
    }
}
