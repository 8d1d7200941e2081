//! Guards against control traffic between failure domains that grows with the square of the instances, and against
//! instances that take others for gone because those that pass on heartbeats end, freeze or are cut off.

mod entry_fixtures;

use std::net::SocketAddr;
use std::time::Duration;

use entry_fixtures::ms;
use jujubehook::entry::{Heartbeat, Members};

/// Time between two heartbeats of an instance among 95.
const ROUND: Duration = Duration::from_millis(228);

/// Time between two heartbeats that go to all, also at rest.
const IDLE: Duration = Duration::from_millis(400);

/// Time without news of a live instance in which its work counts as gone.
const NEWS_TIMEOUT: Duration = Duration::from_secs(2);

/// Instances of several failure domains, a network between them, and what each one has heard.
struct Fleet {
    between_domains: usize,
    domains: usize,
    /// Whether a datagram from one instance to another arrives.
    connected: Box<dyn Fn(usize, usize) -> bool>,
    heard: Vec<Vec<Duration>>,
    members: Vec<Members>,
    now: Duration,
    sequence: u64,
}

impl Fleet {
    fn new(count: usize, domains: usize) -> Self {
        let members = (0..count).map(|at| Members::new(name(at, domains)));
        let mut members: Vec<Members> = members.collect();
        for known in &mut members {
            for at in 0..count {
                known.apply(&name(at, domains), Some(address(at)));
            }
        }
        Self {
            between_domains: 0,
            connected: Box::new(|_, _| true),
            domains,
            heard: vec![vec![ms(0); count]; count],
            members,
            now: ms(0),
            sequence: 0,
        }
    }

    fn domain(&self, at: usize) -> String {
        format!("domain-{}", at % self.domains)
    }

    /// Sends a heartbeat from each instance, after `pause`.
    fn round(&mut self, pause: Duration, all: bool) {
        self.now += pause;
        self.sequence += 1;
        for from in 0..self.members.len() {
            let domain = self.domain(from);
            let fanout = self.members[from].fanout(&domain, self.sequence, all, self.now);
            for to in fanout.direct {
                self.deliver(from, from, number(to));
            }
            for relay in fanout.relays.into_iter().map(number) {
                if self.deliver(from, from, relay) {
                    let domain = self.domain(relay);
                    let neighbors: Vec<SocketAddr> =
                        self.members[relay].neighbors(&domain, self.now).collect();
                    for to in neighbors {
                        self.deliver(from, relay, number(to));
                    }
                }
            }
        }
    }

    /// Carries the heartbeat of `origin` over the link between two instances.
    fn deliver(&mut self, origin: usize, from: usize, to: usize) -> bool {
        self.between_domains += usize::from(self.domain(from) != self.domain(to));
        if from == to || !(self.connected)(from, to) {
            return false;
        }
        let heartbeat = Heartbeat {
            address: Some(address(origin)),
            domain: self.domain(origin),
            instance: name(origin, self.domains),
            sequence: self.sequence,
            ..Heartbeat::default()
        };
        self.members[to].receive(&heartbeat, address(from), self.now);
        self.heard[to][origin] = self.now;
        true
    }

    /// Starts with news of all at all.
    fn settle(&mut self) {
        self.round(ROUND, true);
        self.round(ROUND, false);
        self.between_domains = 0;
    }

    /// Longest time without news between two of these instances.
    fn longest_silence(&self, among: &[usize]) -> Duration {
        let pairs = among
            .iter()
            .flat_map(|to| among.iter().map(move |from| (*to, *from)));
        let apart = pairs.filter(|(to, from)| to != from);
        let silences = apart.map(|(to, from)| self.now - self.heard[to][from]);
        silences.max().unwrap_or_default()
    }
}

fn name(at: usize, domains: usize) -> String {
    format!("i-{}-{:03}", at % domains, at / domains)
}

fn address(at: usize) -> SocketAddr {
    ([127, 0, 0, 1], at as u16 + 1).into()
}

fn number(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

/// Load pattern: 95 instances in five failure domains, all busy. A heartbeat crosses to each other domain once, and
/// reaches every instance in its round.
#[test]
fn crosses_once() {
    let mut fleet = Fleet::new(95, 5);
    fleet.settle();
    fleet.round(ROUND, false);
    assert_eq!(fleet.between_domains, 95 * 4);
    let all: Vec<usize> = (0..95).collect();
    assert_eq!(fleet.longest_silence(&all), ms(0));
}

/// A datagram that is passed on comes from another address than its heartbeat; transfers go to the sender's.
#[test]
fn address_of_sender() {
    let mut fleet = Fleet::new(20, 2);
    fleet.settle();
    fleet.round(ROUND, false);
    for known in &fleet.members {
        for (at, member) in known.list().iter().enumerate() {
            assert_eq!(name(number(member.address), 2), member.instance, "{at}");
        }
    }
}

/// A third of a domain ends at once, those that are first by name, while the fleet is busy or at rest. Nobody takes
/// a live instance for gone.
#[test]
fn relays_end() {
    for (pause, all) in [(ROUND, false), (IDLE, true)] {
        let mut fleet = Fleet::new(95, 5);
        fleet.settle();
        let has_ended = |at: usize| at % 5 == 1 && at / 5 < 7;
        fleet.connected = Box::new(move |from, to| !has_ended(from) && !has_ended(to));
        let live: Vec<usize> = (0..95).filter(|at| !has_ended(*at)).collect();
        for _ in 0..60 {
            fleet.round(pause, all);
            let silence = fleet.longest_silence(&live);
            assert!(silence < NEWS_TIMEOUT, "{silence:?}, all {all}");
        }
    }
}

/// A domain is cut off and comes back: instances that took each other for gone hear of each other with the next heartbeat
/// that goes to all.
#[test]
fn domain_returns() {
    let mut fleet = Fleet::new(95, 5);
    fleet.settle();
    fleet.connected = Box::new(|from, to| (from % 5 == 2) == (to % 5 == 2));
    for _ in 0..20 {
        fleet.round(ROUND, false);
    }
    let others: Vec<usize> = (0..95).filter(|at| at % 5 != 2).collect();
    assert!(fleet.longest_silence(&others) < NEWS_TIMEOUT);
    fleet.connected = Box::new(|_, _| true);
    fleet.round(ROUND, true);
    let all: Vec<usize> = (0..95).collect();
    assert_eq!(fleet.longest_silence(&all), ms(0));
}

/// An instance that hears others but is not heard by them loses only the heartbeats that it should have passed on.
#[test]
fn one_way_relay() {
    let mut fleet = Fleet::new(95, 5);
    fleet.settle();
    fleet.connected = Box::new(|_, to| to != 6);
    let others: Vec<usize> = (0..95).filter(|at| *at != 6).collect();
    for _ in 0..60 {
        fleet.round(ROUND, false);
        assert!(fleet.longest_silence(&others) < NEWS_TIMEOUT);
    }
}

/// All instances start at the same time and know each other from records only.
#[test]
fn cold_start() {
    let mut fleet = Fleet::new(95, 5);
    fleet.round(ROUND, true);
    let all: Vec<usize> = (0..95).collect();
    assert_eq!(fleet.longest_silence(&all), ms(0));
}
