//! Guards against invalid records and settings that pass `jujubehook check`, and against messages that do not name
//! file, line and key.

use std::fs;

use assert_cmd::Command;

const VALID: &str = r#"
[[record]]
schema = 2
kind = "domain"
name = "north"
[record.body.service]
in = true

[[record]]
schema = 1
kind = "workspace"
name = "coop"
[record.body]
models = ["m"]
keys = []
weight = 3
"#;

/// Checks a folder whose only record file contains `text`; returns the exit code and the output of both streams.
fn check(text: &str) -> (Option<i32>, String) {
    let folder = tempfile::tempdir().unwrap();
    fs::write(folder.path().join("a.toml"), text).unwrap();
    fs::write(folder.path().join("notes.txt"), "not a record").unwrap();
    let mut command = Command::cargo_bin("jujubehook").unwrap();
    let output = command
        .current_dir(folder.path())
        .args(["check", "."])
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

#[test]
fn valid_records() {
    assert_eq!(check(VALID), (Some(0), "records: 2\n".into()));
    assert_eq!(check("# nothing yet\n"), (Some(0), "records: 0\n".into()));
    let (code, text) =
        check("schema = 2\nkind = \"domain\"\nname = \"n\"\nbody.service.in = false\n");
    assert_eq!(code, Some(0), "{text}");
}

#[test]
fn faults_name_lines() {
    let cases = [
        (
            "weight = 3",
            "weigth = 3",
            "line 16: workspace `coop`: unknown field `weigth`",
        ),
        (
            "weight = 3",
            "weight = 0",
            "line 16: workspace `coop`: weight `0`",
        ),
        (
            "in = true",
            "in = 1979-05-27",
            "line 7: domain `north`: date `1979-05-27`",
        ),
        (
            "\"domain\"",
            "\"zone\"",
            "line 4: `kind`: unknown variant `zone`",
        ),
        (
            "schema = 1",
            "schema = \"1\"",
            "line 10: `schema`: invalid type",
        ),
        (
            "schema = 1",
            "schema = 9",
            "line 10: workspace `coop`: unknown schema `9`",
        ),
        ("schema = 1", "schema = ", "line 10"),
        ("keys = []", "", "workspace `coop`: missing field `keys`"),
        (
            "keys = []",
            "keys = [\"ab\"]",
            "line 15: workspace `coop`: key digest `ab`",
        ),
    ];
    for (from, to, expected) in cases {
        let (code, text) = check(&VALID.replacen(from, to, 1));
        assert_eq!(code, Some(3), "{to}: {text}");
        assert!(text.contains("a.toml` line "), "{to}: {text}");
        assert!(text.contains(expected), "{to}: {text}");
    }
}

#[test]
fn duplicates() {
    let (code, text) = check(&format!("{VALID}{VALID}"));
    assert_eq!(code, Some(3), "{text}");
    assert!(
        text.contains("line 18: domain `north`: already defined in"),
        "{text}"
    );
}

#[test]
fn daemon_settings() {
    let example = include_str!("../examples/jujubehookd.toml");
    let cases = [
        (example.to_owned(), 0, "is valid"),
        (
            example.replace("domain = \"north\"", "domain = \"\""),
            1,
            "`domain`",
        ),
        (
            example.replace("domain =", "zone ="),
            1,
            "line 7: unknown field `zone`",
        ),
    ];
    for (text, expected, message) in cases {
        let file = tempfile::NamedTempFile::new().unwrap();
        fs::write(file.path(), text).unwrap();
        let mut command = Command::cargo_bin("jujubehook").unwrap();
        let output = command
            .args(["check", "--settings"])
            .arg(file.path())
            .output()
            .unwrap();
        let text = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
        assert_eq!(output.status.code(), Some(expected), "{text}");
        assert!(text.contains(message), "{text}");
    }
}
