//! Guards against sending work to targets that left, and against an empty directory after an outage of the log.

mod entry_fixtures;

use entry_fixtures::{ms, target};
use jujubehook::entry::{key, Directory, Target};

fn names(directory: &Directory, now: u64) -> Vec<String> {
    let usable = directory.usable("llm", ms(now));
    usable.iter().map(|target| target.id.clone()).collect()
}

/// A draining target gets no new work, and its removal is final.
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

/// A record that was written before a target started to drain may be appended after it. The target stays out until its
/// process restarts.
#[test]
fn late_record_ends_no_draining() {
    let process = |started_unix_ms, draining| {
        let mut target = target("a", "north");
        (target.started_unix_ms, target.draining) = (Some(started_unix_ms), draining);
        Some(target)
    };
    let mut directory = Directory::default();
    directory.apply("a", process(1_000, false), ms(0));
    directory.apply("a", process(1_000, true), ms(10));
    directory.apply("a", process(1_000, false), ms(20));
    assert!(names(&directory, 20).is_empty());
    directory.apply("a", process(9_000, false), ms(30));
    assert_eq!(names(&directory, 30), ["a"]);
}

/// A target whose record is removed without notice may be leaving: other targets are used from then on.
#[test]
fn removed_gets_nothing() {
    let mut directory = Directory::default();
    directory.apply("a", Some(target("a", "north")), ms(0));
    directory.apply("b", Some(target("b", "north")), ms(0));
    directory.apply("b", None, ms(10));
    assert_eq!(names(&directory, 10), ["a"]);
}

/// All records lapse during an outage of the log. The targets are used until their records should have returned, but
/// not longer.
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

/// An evacuated domain gets no work until the evacuation ends.
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

/// The process of the target `a` that started at this time.
fn process(started_unix_ms: u64, draining: bool) -> Option<Target> {
    let mut target = target("a", "north");
    (target.started_unix_ms, target.draining) = (Some(started_unix_ms), draining);
    Some(target)
}

/// A target that says that it leaves gets no new work, although its record stays ready and is written again. The next
/// process under its id gets work.
#[test]
fn leaving_gets_nothing() {
    let mut directory = Directory::default();
    directory.apply("a", process(1_000, false), ms(0));
    assert!(directory.leave("a", Some(1_000), ms(10)));
    assert!(!directory.leave("a", Some(1_000), ms(11)));
    assert!(names(&directory, 20).is_empty());
    directory.apply("a", process(1_000, false), ms(30));
    assert!(names(&directory, 30).is_empty());
    directory.apply("a", process(9_000, false), ms(40));
    assert_eq!(names(&directory, 40), ["a"]);
    assert!(!directory.leave("a", Some(1_000), ms(50)));
    assert_eq!(names(&directory, 50), ["a"]);
}

/// A target that leaves stays out after its record lapsed with the log and returned.
#[test]
fn leaving_outlives_lapse() {
    let mut directory = Directory::default();
    directory.apply("a", process(1_000, false), ms(0));
    directory.leave("a", Some(1_000), ms(10));
    directory.apply("a", None, ms(100));
    assert!(directory.target("a").is_none(), "left on purpose");
    directory.expire(ms(5_000));
    directory.apply("a", process(1_000, false), ms(6_000));
    assert!(names(&directory, 6_000).is_empty());
}

/// What leaves is told to others for a while, and not passed on by them.
#[test]
fn leaving_is_reported() {
    let mut directory = Directory::default();
    directory.apply("a", process(1_000, false), ms(0));
    directory.leave("a", Some(1_000), ms(10));
    assert_eq!(directory.reports(ms(20)), [(key("a"), Some(1_000))]);
    let mut other = Directory::default();
    other.apply("a", process(1_000, false), ms(0));
    assert!(other.receive(key("a"), Some(1_000), ms(20)));
    assert!(names(&other, 20).is_empty());
    assert!(other.reports(ms(20)).is_empty());
    assert!(directory.reports(ms(60_000)).is_empty());
    assert!(names(&directory, 60_000).is_empty());
}
