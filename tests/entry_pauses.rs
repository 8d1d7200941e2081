//! Guards against work for targets that asked for a pause, and against a target that takes itself out for ever by one.

mod entry_fixtures;

use std::time::Duration;

use entry_fixtures::ms;
use jujubehook::entry::{pause_time, Pauses};

/// Seconds, also in fractions. What cannot be read, a date among it, is a short pause: the target did ask for one.
#[test]
fn reads_values() {
    for (value, expected) in [
        ("4", ms(4_000)),
        (" 0.25 ", ms(250)),
        ("0", ms(0)),
        ("-3", ms(1_000)),
        ("soon", ms(1_000)),
        ("", ms(1_000)),
        ("NaN", ms(1_000)),
        ("Sat, 05 Dec 2026 07:00:00 GMT", ms(1_000)),
        ("1e308", Duration::from_secs(600)),
        ("inf", Duration::from_secs(600)),
        ("18446744073709551616", Duration::from_secs(600)),
    ] {
        assert_eq!(pause_time(value), expected, "{value}");
    }
}

/// A target is left alone until the end that it stated, also if a later answer states an earlier one.
#[test]
fn lasts_as_stated() {
    let mut pauses = Pauses::default();
    assert!(pauses.start(1, ms(4_000), ms(100)));
    assert!(!pauses.start(1, ms(500), ms(200)));
    assert_eq!(pauses.left(1, ms(4_000)), Some(ms(100)));
    assert_eq!(pauses.left(1, ms(4_100)), None);
    assert_eq!(pauses.left(2, ms(200)), None);
    pauses.expire(ms(5_000));
    assert_eq!(pauses.left(1, ms(200)), None);
}
