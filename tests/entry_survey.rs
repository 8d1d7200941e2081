//! Guards against a log that cannot tell why a long prompt was refused.

mod entry_fixtures;

use entry_fixtures::{add_chats, engines, long, ms, profile};
use jujubehook::entry::{survey, Survey};

/// Engines for short prompts if none runs.
const SHORT_ENGINES: usize = 2;

/// Busy engines are not free; free ones that decode a request with a short gap have no room for a long part.
#[test]
fn closed_engines() {
    let mut engines = engines(195);
    let end = engines.len();
    for engine in &mut engines[end - 10..] {
        engine.load.backlog = ms(300);
    }
    for engine in &mut engines[end - 40..end - 10] {
        add_chats(engine, 1);
        engine.load.short = 0;
    }
    let survey = survey(&long(600_000), &profile(), &engines);
    let expected = Survey {
        free: end - SHORT_ENGINES - 10,
        long: end - SHORT_ENGINES,
        with_room: end - SHORT_ENGINES - 40,
    };
    assert_eq!(survey, expected);
}

/// Without a reachable engine there is none to count.
#[test]
fn no_engine() {
    assert_eq!(survey(&long(600_000), &profile(), &[]), Survey::default());
}
