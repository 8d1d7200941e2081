//! Guards against a log that all instances read, which costs as many calls as there are instances, and against records
//! that nobody reads while the instances that did so end, fail or cannot be reached.

mod entry_fixtures;

use std::net::SocketAddr;
use std::time::Duration;

use entry_fixtures::ms;
use jujubehook::entry::platform::Topic;
use jujubehook::entry::{Heartbeat, Members, Position};

/// A bound that leaves time to notice the end of a reader.
const BOUND: Duration = Duration::from_secs(4);

/// Readers of a topic in a failure domain.
const READERS: usize = 3;

/// Instances of one failure domain, and how each of them sees the others.
struct Domain {
    members: Vec<Members>,
    now: Duration,
    reads: Vec<bool>,
}

impl Domain {
    fn new(count: usize) -> Self {
        let members = (0..count).map(|number| Members::new(format!("i-{number}")));
        Self {
            members: members.collect(),
            now: ms(0),
            reads: vec![false; count],
        }
    }

    /// Sends a round of heartbeats from all instances but those that `fails` names; each then decides. An instance in
    /// `refused` decides to read, but without success.
    fn round(&mut self, fails: &[usize], refused: &[usize]) {
        self.now += ms(500);
        for from in (0..self.members.len()).filter(|from| !fails.contains(from)) {
            let heartbeat = Heartbeat {
                domain: "north".into(),
                instance: format!("i-{from}"),
                reads: [false, self.reads[from], false],
                ..Heartbeat::default()
            };
            for to in (0..self.members.len()).filter(|to| !fails.contains(to)) {
                self.members[to].receive(&heartbeat, address(), self.now);
            }
        }
        for at in 0..self.members.len() {
            self.reads[at] = self.is_reader(at) && !refused.contains(&at);
        }
    }

    fn is_reader(&self, at: usize) -> bool {
        self.members[at].is_reader(Topic::Operator, "north", BOUND, self.now)
    }

    /// Those of these instances that try often.
    fn trying(&self, among: &[usize]) -> Vec<usize> {
        let among = among.iter().copied();
        let tries =
            |at: &usize| self.members[*at].tries_often(Topic::Operator, "north", BOUND, self.now);
        among.filter(tries).collect()
    }

    /// Live instances that read with success.
    fn readers(&self, fails: &[usize]) -> Vec<usize> {
        let all = (0..self.members.len()).filter(|at| !fails.contains(at));
        all.filter(|at| self.reads[*at]).collect()
    }
}

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 7_000).into()
}

/// Load pattern: 19 instances of a domain, one of five, at rest.
#[test]
fn few_read() {
    let mut domain = Domain::new(19);
    for _ in 0..4 {
        domain.round(&[], &[]);
    }
    assert_eq!(domain.readers(&[]).len(), READERS);
}

/// All readers end at the same time: others read within the timeout of heartbeats, well before the bound.
#[test]
fn readers_end() {
    let mut domain = Domain::new(19);
    for _ in 0..4 {
        domain.round(&[], &[]);
    }
    let ended = domain.readers(&[]);
    let since = domain.now;
    while domain.readers(&ended).is_empty() {
        domain.round(&ended, &[]);
        assert!(domain.now < since + BOUND - ms(1_000), "nobody reads");
    }
    for _ in 0..2 {
        domain.round(&ended, &[]);
    }
    assert_eq!(domain.readers(&ended).len(), READERS);
}

/// The log turns the readers away and serves the others: others read, and the first ones go on trying.
#[test]
fn readers_refused() {
    let mut domain = Domain::new(19);
    for _ in 0..4 {
        domain.round(&[], &[]);
    }
    let refused = domain.readers(&[]);
    for _ in 0..4 {
        domain.round(&[], &refused);
    }
    let readers = domain.readers(&[]);
    assert_eq!(readers.len(), READERS);
    assert!(!readers.iter().any(|reader| refused.contains(reader)));
    assert!(refused.iter().all(|at| domain.is_reader(*at)));
}

/// An instance that hears from nobody reads itself, and so does one with a bound too short to notice the end of another.
#[test]
fn alone_or_urgent() {
    let mut domain = Domain::new(19);
    for _ in 0..4 {
        domain.round(&[], &[]);
    }
    let late = domain.now + Duration::from_secs(2);
    for members in &domain.members {
        assert!(members.is_reader(Topic::Operator, "north", BOUND, late));
        assert!(members.is_reader(Topic::Operator, "north", ms(2_000), domain.now));
        assert!(members.is_reader(Topic::Operator, "south", BOUND, domain.now));
    }
}

/// Records come from the own failure domain if an instance there has them, and from another one otherwise.
#[test]
fn own_domain_first() {
    let mut members = Members::new("a");
    for (instance, domain, end) in [("b", "south", 9), ("c", "north", 5), ("d", "south", 9)] {
        let heartbeat = Heartbeat {
            domain: domain.into(),
            ends: [Position::new(0, end); 3],
            instance: instance.into(),
            ..Heartbeat::default()
        };
        members.receive(&heartbeat, address(), ms(1));
    }
    let ahead = |end, turn| {
        let member = members.ahead(Topic::Targets, Position::new(0, end), ms(2), "north", turn);
        member.map(|member| member.instance.as_str())
    };
    assert_eq!([ahead(4, 0), ahead(4, 1)], [Some("c"), Some("c")]);
    assert_eq!([ahead(5, 0), ahead(5, 1)], [Some("b"), Some("d")]);
    assert_eq!(ahead(9, 0), None);
}

/// An instance that read an older copy of the log to its end asks nobody for a version that others know.
#[test]
fn config_of_others() {
    let mut members = Members::new("a");
    for (instance, config) in [("b", 4), ("c", 7), ("d", 7)] {
        let heartbeat = Heartbeat {
            config,
            ends: [Position::new(1, 9); 3],
            instance: instance.into(),
            ..Heartbeat::default()
        };
        members.receive(&heartbeat, address(), ms(1));
    }
    let later = |version, turn| {
        let member = members.configured(version, ms(2), turn);
        member.map(|member| member.instance.as_str())
    };
    assert_eq!([later(4, 0), later(4, 1)], [Some("c"), Some("d")]);
    assert_eq!(later(7, 0), None);
    assert!(members.configured(4, ms(9_000), 0).is_none());
}

/// An instance that has read a new era looks behind those that still know the longer history before.
#[test]
fn later_era_is_ahead() {
    let mut members = Members::new("a");
    for (instance, end) in [("b", Position::new(0, 90)), ("c", Position::new(1, 5))] {
        let heartbeat = Heartbeat {
            ends: [end; 3],
            instance: instance.into(),
            ..Heartbeat::default()
        };
        members.receive(&heartbeat, address(), ms(1));
    }
    let ahead = |end| {
        let member = members.ahead(Topic::Operator, end, ms(2), "", 0);
        member.map(|member| member.instance.as_str())
    };
    assert_eq!(ahead(Position::new(0, 90)), Some("c"));
    assert_eq!(ahead(Position::new(1, 5)), None);
}

/// The log is away for all: a few instances of the domain go on trying often, and again others after these have ended.
#[test]
fn log_is_away() {
    let mut domain = Domain::new(19);
    let all: Vec<usize> = (0..19).collect();
    for _ in 0..4 {
        domain.round(&[], &all);
    }
    assert!(all.iter().all(|at| domain.is_reader(*at)));
    let often = domain.trying(&all);
    assert_eq!(often.len(), READERS);
    for _ in 0..5 {
        domain.round(&often, &all);
    }
    let left: Vec<usize> = all.into_iter().filter(|at| !often.contains(at)).collect();
    assert_eq!(domain.trying(&left).len(), READERS);
}

/// An instance without neighbors tries often, and so does each one with a bound too short to wait for others.
#[test]
fn alone_tries_often() {
    let alone = Members::new("i-0");
    assert!(alone.tries_often(Topic::Operator, "north", BOUND, ms(0)));
    let mut domain = Domain::new(19);
    domain.round(&[], &[]);
    for member in &domain.members {
        assert!(member.tries_often(Topic::Operator, "north", ms(2_000), domain.now));
    }
}
