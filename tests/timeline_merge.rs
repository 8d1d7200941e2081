//! Guards against a wrong order of events, against lost lines and against diagrams without the hops of a request.

use std::fs;

use assert_cmd::Command;
use tempfile::TempDir;

const FIRST: &str = "\
ts=2026-01-31T12:00:00.5Z level=info event=receive time=1 instance=i1 domain=d1 request=000000000000000a
ts=2026-01-31T12:00:00.75Z level=info event=forward time=2 instance=i1 domain=d1 request=000000000000000a target=e1
Thread panicked at src/x.rs

ts=2026-01-31T12:00:01Z level=info event=finish time=7 instance=i1 domain=d1 request=000000000000000a
ts=2026-01-31T12:00:01Z level=info event=receive time=8 instance=i1 domain=d1 request=00000000000000ab target=";

const SECOND: &str = r#"
ts=2026-01-31T12:00:00.65Z level=info event=token time=4 instance=i2 domain=d2 request=000000000000000a target=e1
ts=2026-01-31T12:00:00.6Z level=info event=dispatch time=4 instance=i2 domain=d2 request=000000000000000a target=e1
ts=2026-01-31T12:00:00.6Z level=warn event=alarm time=4 instance=i0 domain=d2 reason="log \"down\" <1>"
"#;

struct Case {
    folder: TempDir,
}

impl Case {
    fn new(files: &[(&str, &[u8])]) -> Self {
        let folder = tempfile::tempdir().unwrap();
        for (name, bytes) in files {
            fs::write(folder.path().join(name), bytes).unwrap();
        }
        Self { folder }
    }

    /// Runs `timeline`; returns the exit code, standard output and standard error.
    fn run(&self, arguments: &[&str]) -> (Option<i32>, String, String) {
        let mut command = Command::cargo_bin("jujubehook").unwrap();
        let command = command
            .current_dir(self.folder.path())
            .arg("timeline")
            .args(arguments);
        let output = command.output().unwrap();
        let text = |bytes| String::from_utf8(bytes).unwrap();
        (
            output.status.code(),
            text(output.stdout),
            text(output.stderr),
        )
    }
}

fn pair() -> Case {
    Case::new(&[("a.log", FIRST.as_bytes()), ("b.log", SECOND.as_bytes())])
}

/// Instance and event of each line of JSON.
fn events(json: &str) -> Vec<String> {
    let name = |line: &str| {
        let value: serde_json::Value = serde_json::from_str(line).unwrap();
        let text = |key: &str| value[key].as_str().unwrap().to_owned();
        format!("{} {}", text("instance"), text("event"))
    };
    json.lines().map(name).collect()
}

#[test]
fn order() {
    let (code, out, err) = pair().run(&["--json", "b.log", "a.log"]);
    assert_eq!(code, Some(1));
    assert!(err.contains("`a.log` line 3: "), "{err}");
    assert!(err.contains("malformed lines: 1"), "{err}");
    let expected = [
        "i1 receive",
        "i1 forward",
        "i0 alarm",
        "i2 dispatch",
        "i2 token",
        "i1 finish",
        "i1 receive",
    ];
    assert_eq!(events(&out), expected);
    assert!(out.contains(r#""reason":"log \"down\" <1>""#), "{out}");
}

#[test]
fn filters() {
    let case = pair();
    let cases: &[(&[&str], usize)] = &[
        (&["--request", "0A"], 5),
        (&["--request", "a", "--target", "e1"], 3),
        (&["--domain", "d2"], 3),
        (&["--target", "e2"], 0),
    ];
    for (arguments, count) in cases {
        let arguments = [arguments, &["--json", "a.log", "b.log"][..]].concat();
        let (_, out, _) = case.run(&arguments);
        assert_eq!(events(&out).len(), *count, "{arguments:?}");
    }
}

#[test]
fn diagram() {
    let case = pair();
    let (_, out, _) = case.run(&["--svg", "p.svg", "a.log", "b.log"]);
    assert_eq!(out.lines().count(), 8, "{out}");
    assert!(
        out.contains(r#"alarm     level=warn reason="log \"down\" <1>""#),
        "{out}"
    );
    let svg = fs::read_to_string(case.folder.path().join("p.svg")).unwrap();
    // i1 to i2 and back; each arrow has one head.
    assert_eq!(svg.matches("<polygon").count(), 2);
    assert_eq!(svg.matches("<circle").count(), 7);
    for name in ["d1 i1", "d2 i0", "d2 i2"] {
        assert_eq!(svg.matches(name).count(), 1, "{name}");
    }
    let (code, _, err) = case.run(&["--target", "none", "--svg", "q.svg", "a.log"]);
    assert_eq!(code, Some(1));
    assert!(err.contains("no event to draw"), "{err}");
}

#[test]
fn bad_input() {
    let case = Case::new(&[("bytes.log", b"ts=\xff\n"), ("empty.log", b"")]);
    let cases: &[(&[&str], i32, &str)] = &[
        (&[], 2, "`FILE`"),
        (&["--request", "xyz", "a.log"], 2, "`--request xyz`"),
        (&["--colour", "a.log"], 2, "colour"),
        (&["absent.log"], 1, "`absent.log`"),
        (&["bytes.log"], 1, "`bytes.log` line 1: not UTF-8"),
        (&["empty.log"], 0, ""),
    ];
    for (arguments, expected, message) in cases {
        let (code, _, err) = case.run(arguments);
        assert_eq!(code, Some(*expected), "{arguments:?}: {err}");
        assert!(err.contains(message), "{arguments:?}: {err}");
    }
}

/// A log collector adds a prefix with time and process to each line, and lines of its own.
#[test]
fn prefixed_lines() {
    let collected = format!(
        "built in 0.1 s\n   0.5 host-1 {}\n\nseen\n",
        FIRST.lines().next().unwrap()
    );
    let case = Case::new(&[("all.log", collected.as_bytes())]);
    let (code, out, _) = case.run(&["--json", "--prefixed", "all.log"]);
    assert_eq!(
        (code, events(&out)),
        (Some(0), vec!["i1 receive".to_owned()])
    );
    let (code, _, _) = case.run(&["--json", "all.log"]);
    assert_eq!(code, Some(1));
}
