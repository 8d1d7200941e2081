//! Guards against work for targets that left, and against an empty directory after an outage of the log.

mod entry_fixtures;

use entry_fixtures::{ms, target};
use jujubehook::entry::Directory;

fn names(directory: &Directory, now: u64) -> Vec<String> {
    let usable = directory.usable("llm", ms(now));
    usable.iter().map(|target| target.id.clone()).collect()
}

/// A draining target gets nothing new, and its removal is final.
#[test]
fn draining_gets_nothing() {
    let mut directory = Directory::default();
    directory.apply("a", Some(target("a", "north")), ms(0));
    let mut leaving = target("b", "north");
    leaving.draining = true;
    directory.apply("b", Some(leaving), ms(0));
    assert_eq!(names(&directory, 0), ["a"]);
    directory.apply("b", None, ms(10));
    assert!(directory.target("b").is_none());
}

/// An entry that vanishes without a word may be a target that leaves: others are used from then on.
#[test]
fn removed_gets_nothing() {
    let mut directory = Directory::default();
    directory.apply("a", Some(target("a", "north")), ms(0));
    directory.apply("b", Some(target("b", "north")), ms(0));
    directory.apply("b", None, ms(10));
    assert_eq!(names(&directory, 10), ["a"]);
}

/// All entries lapse while the log is away: they are used until they must be back, and not longer.
#[test]
fn lapsed_bridge_outage() {
    let mut directory = Directory::default();
    directory.apply("a", Some(target("a", "north")), ms(0));
    directory.apply("a", None, ms(100));
    assert_eq!(names(&directory, 1_000), ["a"]);
    directory.expire(ms(2_100));
    assert!(names(&directory, 2_100).is_empty());
    directory.apply("a", Some(target("a", "north")), ms(2_200));
    assert_eq!(names(&directory, 2_200), ["a"]);
}

/// Nothing goes to an evacuated domain until it is taken back.
#[test]
fn evacuated_gets_nothing() {
    let mut directory = Directory::default();
    directory.apply("a", Some(target("a", "north")), ms(0));
    directory.apply("b", Some(target("b", "south")), ms(0));
    directory.evacuate("north", true);
    directory.evacuate("north", true);
    assert_eq!(names(&directory, 0), ["b"]);
    directory.evacuate("north", false);
    assert_eq!(names(&directory, 0), ["a", "b"]);
}
