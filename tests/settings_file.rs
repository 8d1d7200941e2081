//! Guards against settings whose defaults differ from those in the example file, and against invalid settings that are
//! accepted or reported without line and key.

use jujubehook::event;
use jujubehook::settings::{Limits, Network, Queue, Settings};

const EXAMPLE: &str = include_str!("../examples/jujubehookd.toml");

/// The example with all settings that are commented out enabled; they show the defaults.
fn uncommented() -> String {
    let plain = |line: &str| match line.strip_prefix("# ") {
        Some(rest) if is_setting(rest) => rest.to_owned(),
        _ => line.to_owned(),
    };
    EXAMPLE.lines().map(|line| plain(line) + "\n").collect()
}

fn is_setting(line: &str) -> bool {
    line.split_once(" = ")
        .is_some_and(|(key, _)| !key.contains(' '))
}

/// The example with `key` set to `value` in `table`, and the line on which it is set.
fn changed(table: &str, key: &str, value: &str) -> (String, usize) {
    let mut lines: Vec<String> = EXAMPLE.lines().map(str::to_owned).collect();
    let set = format!("{key} = ");
    lines.retain(|line| !line.starts_with(&set));
    let at = match table {
        "" => 0,
        table => {
            let head = format!("[{table}]");
            lines.iter().position(|line| *line == head).unwrap() + 1
        }
    };
    lines.insert(at, format!("{set}{value}"));
    (lines.join("\n"), at + 1)
}

#[test]
fn example_is_default() {
    let plain = Settings::parse("a", EXAMPLE).unwrap();
    assert_eq!(plain.limits, Limits::default());
    assert_eq!(plain.queue, Queue::default());
    assert_eq!(plain.log, event::Settings::default());
    assert_eq!(plain.policy, "affinity");
    let network = Network {
        list: plain.network.list,
        log: plain.network.log,
        ..Network::default()
    };
    assert_eq!(plain.network, network);
    let full = uncommented();
    let mut full = Settings::parse("a", &full).unwrap_or_else(|error| panic!("{error}\n{full}"));
    // These two settings are absent by default.
    assert!(full.network.store.take().is_some() && full.log.file.take().is_some());
    assert_eq!(full, plain);
}

#[test]
fn bad_values() {
    for (table, key, values) in [
        (
            "",
            "domain",
            &["\"\"", "\"a b\"", "\"a/b\"", "\"\u{e9}\""][..],
        ),
        ("", "instance", &["\"\"", "\"a\\nb\""]),
        (
            "",
            "peer_key",
            &[
                "\"short\"",
                "\"sixteen bytes \u{e9}\"",
                "\"ends with a space \"",
                "\"sixteen bytes\\nand more\"",
            ],
        ),
        ("", "policy", &["\"random\"", "\"\""]),
        ("limits", "body_bytes", &["0", "1023", "67108865"]),
        ("limits", "deadline_ms", &["0", "600001", "3600001"]),
        ("limits", "deadline_max_ms", &["0", "3600001"]),
        (
            "limits",
            "memory_bytes",
            &["1023", "1048576", "68719476737"],
        ),
        ("limits", "requests", &["0", "100001"]),
        ("limits", "tokens", &["0", "1000001"]),
        ("network", "controller_delay_ms", &["99", "60001"]),
        ("network", "controller_lease_ms", &["499", "600001"]),
        ("network", "heartbeat_ms", &["9", "10001"]),
        ("network", "lease_ms", &["99", "2000", "60001"]),
        ("network", "list_interval_ms", &["9", "60001"]),
        ("network", "margin_ms", &["9", "30001"]),
        ("network", "pause_ms", &["49", "3000", "30001"]),
        ("network", "reap_ms", &["49", "60001"]),
        ("network", "stall_ms", &["99", "600001"]),
        ("network", "suspicion_ms", &["19", "999", "60001"]),
        ("queue", "chunk_tokens", &["255", "1000001"]),
        ("queue", "cold_limit", &["0", "17", "1025"]),
        ("queue", "decode_rate", &["0", "1000001"]),
        ("queue", "limit", &["0", "4097"]),
        ("queue", "memory_tokens", &["1023", "100000001"]),
        ("queue", "prefill_rate", &["0", "100000001"]),
    ] {
        for value in values {
            let (text, line) = changed(table, key, value);
            let error = Settings::parse("a.toml", &text).unwrap_err().to_string();
            let start = format!("`a.toml` line {line}: `{key}` ");
            assert!(error.starts_with(&start), "{key} = {value}: {error}");
        }
    }
}

#[test]
fn bad_shapes() {
    for (table, key, values) in [
        ("", "speed", &["1"][..]),
        ("", "listen", &["\"localhost\"", "\"127.0.0.1\"", "7000"]),
        ("", "peer_key", &["1", "[]"]),
        ("limits", "speed", &["1"]),
        (
            "limits",
            "requests",
            &["-1", "1.5", "\"1\"", "99999999999999999999"],
        ),
        ("log", "level", &["\"loud\"", "1"]),
        ("log", "speed", &["1"]),
        ("network", "log", &["\"\"", "true"]),
        ("network", "speed", &["1"]),
        ("network", "lease_ms", &["\"3s\"", "-1"]),
        ("queue", "cold_limit", &["4294967296", "true"]),
        ("queue", "slack", &["1", "\"yes\""]),
        ("queue", "speed", &["1"]),
    ] {
        for value in values {
            let (text, line) = changed(table, key, value);
            let error = Settings::parse("a.toml", &text).unwrap_err().to_string();
            let start = format!("`a.toml` line {line}: ");
            assert!(error.starts_with(&start), "{key} = {value}: {error}");
            assert!(
                error.contains(&format!("`{key}`")),
                "{key} = {value}: {error}"
            );
        }
    }
    let (twice, line) = changed("queue", "limit", "1\nlimit = 2");
    for (text, line) in [
        ("", 1),
        ("a", 1),
        ("domain = \"north\"\n[", 2),
        (&twice, line + 1),
    ] {
        let error = Settings::parse("a.toml", text).unwrap_err().to_string();
        assert!(
            error.starts_with(&format!("`a.toml` line {line}: ")),
            "{error}"
        );
    }
    for key in ["domain", "instance", "listen", "peer_key", "log", "list"] {
        let text: Vec<_> = EXAMPLE
            .lines()
            .filter(|line| !line.starts_with(&format!("{key} = ")))
            .collect();
        let error = Settings::parse("a.toml", &text.join("\n"))
            .unwrap_err()
            .to_string();
        assert!(error.contains(&format!("`{key}`")), "{error}");
    }
    let error = Settings::load("none.toml").unwrap_err().to_string();
    assert!(error.starts_with("cannot read `none.toml`: "), "{error}");
}
