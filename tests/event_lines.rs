//! Guards against event lines with a wrong instance, domain or logical time, and against lines that must not be logged.

use std::fs;
use std::sync::Arc;

use jujubehook::clock::Clock;
use jujubehook::event::{hex, start, Settings, Source};

#[test]
fn lines_name_instances() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("events.log");
    let settings = Settings {
        file: Some(path.clone()),
        ..Settings::default()
    };
    start(&settings).unwrap();
    start(&settings).unwrap_err();
    let clock = || Arc::new(Clock::new());
    let first = Arc::new(Source::new(clock(), "i1", "d1"));
    let second = Source::new(clock(), "i2", "d2");
    jujubehook::event!(
        first,
        "dispatch",
        request = hex(10),
        target = "e1",
        attempt = 1
    );
    second.clock().merge(first.clock().tick());
    jujubehook::event!(second, "receive", request = hex(10));
    jujubehook::event!(warn, &second, "alarm", reason = "log \"down\"\nsince 3 s");
    jujubehook::event!(debug, second, "hidden");
    tracing::info!("event of another crate");
    let text = fs::read_to_string(path).unwrap();
    let lines: Vec<_> = text.lines().collect();
    let expected = [
        "level=info event=dispatch time=1 instance=i1 domain=d1 request=000000000000000a target=e1 attempt=1",
        "level=info event=receive time=3 instance=i2 domain=d2 request=000000000000000a",
        r#"level=warn event=alarm time=4 instance=i2 domain=d2 reason="log \"down\"\nsince 3 s""#,
    ];
    assert_eq!(lines.len(), expected.len(), "{text}");
    for (line, expected) in lines.iter().zip(expected) {
        assert!(
            line.starts_with("ts=2") && line.ends_with(expected),
            "{line}"
        );
    }
    second.clock().merge(u64::MAX);
    assert_eq!(second.clock().tick(), u64::MAX);
}
