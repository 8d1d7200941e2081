//! Guards against slots that an allocator grants twice or loses, and against requests that wait for one in vain.

mod entry_fixtures;
mod permit_fixtures;

use std::collections::BTreeSet;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;

use entry_fixtures::ms;
use jujubehook::entry::permit::{
    batch, elect, Allocator, Ask, Candidate, Envelope, Message, Reply, Room, Search, Single,
    Unresponsive, Update,
};
use jujubehook::entry::{Heartbeat, Row, View, Work};
use permit_fixtures::{ask, replies, Domain};

/// The number of a grant's permit.
fn permit(reply: &Reply) -> u64 {
    match reply {
        Reply::Grant { permit, .. } => *permit,
        other => panic!("not a grant: {other:?}"),
    }
}

/// Failure: a grant is lost. Its slot is free again after 300 ms, not before.
#[test]
fn lost_grant() {
    let (domain, mut allocator) = (Domain::new(1, 1), Allocator::new(1));
    permit(&domain.ask(&mut allocator, ask(1), ms(0))[0].1);
    let waits = domain.ask(&mut allocator, ask(2), ms(1));
    assert_eq!(waits, [(2, Reply::Queued)]);
    domain.now.set(ms(299));
    assert_eq!(allocator.tick(&domain, ms(299)), []);
    domain.now.set(ms(300));
    let granted = replies(allocator.tick(&domain, ms(300)));
    assert_eq!(granted[0].0, 2);
    permit(&granted[0].1);
}

fn heartbeat(sequence: u64, targets: &[u32]) -> Heartbeat {
    Heartbeat {
        incarnation: 1,
        instance: "other".into(),
        rows: targets.iter().map(|target| row(*target)).collect(),
        sequence,
        ..Heartbeat::default()
    }
}

fn row(target: u32) -> Row {
    Row {
        gap_ms: 250,
        running: 1,
        short: 1,
        target,
        tokens: 6_000,
    }
}

fn update(sequence: u64, target: u32, permit: u64) -> Update {
    Update {
        permit,
        row: row(target),
        sequence,
        ..Update::default()
    }
}

/// Failure: heartbeats and updates of an instance overtake each other, so starts are forgotten or counted twice.
#[test]
fn any_order() {
    type Step = Box<dyn Fn(&mut View)>;
    let beat = |sequence, targets: &'static [u32]| -> Step {
        Box::new(move |view| {
            view.receive(&heartbeat(sequence, targets), ms(5));
        })
    };
    let change = |sequence, target| -> Step {
        Box::new(move |view| {
            view.update("other", 1, &update(sequence, target, 0), ms(5));
        })
    };
    // Without a later heartbeat, and with one that has the second update's work already.
    for last in [beat(2, &[]), beat(4, &[7, 8])] {
        let steps = [change(3, 7), change(5, 9), change(4, 8), last];
        for order in 0..24 {
            let mut left: Vec<usize> = (0..4).collect();
            let mut view = View::default();
            view.receive(&heartbeat(1, &[]), ms(0));
            for digit in [order / 6, order / 2 % 3, order % 2, 0] {
                steps[left.remove(digit)](&mut view);
            }
            let loads = view.loads(ms(5));
            let running: Vec<(u32, u32)> = loads
                .iter()
                .map(|(target, load)| (*target, load.running))
                .collect();
            assert_eq!(running, [(7, 1), (8, 1), (9, 1)], "order {order}");
        }
    }
}

/// Failure: an update confirms a permit, but its work is not counted, because its instance is not known yet. The slot
/// would be granted again while the request runs.
#[test]
fn unknown_instance_keeps_permit() {
    let (domain, mut allocator) = (Domain::new(1, 1), Allocator::new(1));
    let permit = permit(&domain.ask(&mut allocator, ask(1), ms(0))[0].1);
    let key = domain.engines[0].key;
    let mut view = domain.view.borrow_mut();
    view.update("other", 1, &update(2, key, permit), ms(3));
    assert_eq!(view.loads(ms(3))[0].1.running, 1);
    view.receive(&heartbeat(1, &[]), ms(4));
    view.update("other", 1, &update(3, key, permit), ms(5));
    assert_eq!(view.loads(ms(5))[0].1.running, 1);
}

/// Failure: two allocators of a domain grant at the same time. A message about a permit of one must not end one of the
/// other.
#[test]
fn permits_differ() {
    let granted = |seed| -> u64 {
        let (domain, mut allocator) = (Domain::new(1, 1), Allocator::new(seed));
        permit(&domain.ask(&mut allocator, ask(1), ms(0))[0].1)
    };
    let numbers: BTreeSet<u64> = (0..100).map(granted).collect();
    assert_eq!(numbers.len(), 100);
}

/// Load: more asks than slots. The more urgent request gets the next slot, whatever the order of arrival.
#[test]
fn urgent_first() {
    let (domain, mut allocator) = (Domain::new(1, 2), Allocator::new(1));
    let permits: Vec<u64> = (1..=2)
        .map(|number| permit(&domain.ask(&mut allocator, ask(number), ms(0))[0].1))
        .collect();
    for (number, priority) in [(3, 2), (4, 1), (5, 0)] {
        let ask = Ask {
            priority,
            objective_ms: 60_000,
            left_ms: 60_000,
            ..ask(number)
        };
        let waits = domain.ask(&mut allocator, ask, ms(number));
        assert_eq!(waits, [(number, Reply::Queued)]);
    }
    domain.now.set(ms(20));
    for (permit, expected) in permits.into_iter().zip([5, 4]) {
        domain.view.borrow_mut().end_permit(permit);
        let granted = replies(allocator.free(&domain, ms(20)));
        let numbers: Vec<u64> = granted.iter().map(|(number, _)| *number).collect();
        assert_eq!(numbers, [expected]);
    }
}

/// Failure: a slot becomes free after the first waiting request can no longer start in time. It must be refused and must
/// not keep the slot from the next one.
#[test]
fn late_head_is_refused() {
    let (domain, mut allocator) = (Domain::new(1, 1), Allocator::new(1));
    let first = permit(&domain.ask(&mut allocator, ask(1), ms(0))[0].1);
    let short = Ask {
        objective_ms: 5_000,
        left_ms: 6_000,
        ..ask(2)
    };
    let long = Ask {
        objective_ms: 30_000,
        left_ms: 30_000,
        ..ask(3)
    };
    let waits = domain.ask(&mut allocator, short, ms(0));
    assert_eq!(waits, [(2, Reply::Queued)]);
    let waits = domain.ask(&mut allocator, long, ms(0));
    assert_eq!(waits, [(3, Reply::Queued)]);
    domain.view.borrow_mut().end_permit(first);
    domain.now.set(ms(5_100));
    let answers = replies(allocator.free(&domain, ms(5_100)));
    assert!(
        matches!(answers[0], (2, Reply::Refused { .. })),
        "{answers:?}"
    );
    assert!(
        matches!(answers[1], (3, Reply::Grant { .. })),
        "{answers:?}"
    );
}

/// Load: the first waiting request excludes the only engine with a free slot. It must not block another one, and gets
/// the next slot that it can use before a request that came later.
#[test]
fn blocked_head() {
    let (domain, mut allocator) = (Domain::new(2, 1), Allocator::new(1));
    let grants: Vec<Reply> = (1..=2)
        .map(|number| domain.ask(&mut allocator, ask(number), ms(0))[0].1.clone())
        .collect();
    let Reply::Grant { target, .. } = grants[0] else {
        panic!("not a grant: {grants:?}");
    };
    let urgent = Ask {
        priority: 0,
        excluded: vec![target],
        ..ask(3)
    };
    let other = |number| Ask {
        priority: 1,
        objective_ms: 60_000,
        left_ms: 60_000,
        ..ask(number)
    };
    for waiting in [urgent, other(4), other(5)] {
        assert_eq!(
            domain.ask(&mut allocator, waiting, ms(0))[0].1,
            Reply::Queued
        );
    }
    for (granted, expected) in grants.iter().zip([4, 3]) {
        domain.view.borrow_mut().end_permit(permit(granted));
        let answers = replies(allocator.free(&domain, ms(0)));
        let numbers: Vec<u64> = answers.iter().map(|(number, _)| *number).collect();
        assert_eq!(numbers, [expected], "{answers:?}");
    }
}

/// Load: the first waiting request fits no engine, and nothing ran before. A new request that fits must not be refused
/// for it.
#[test]
fn blocked_arrival() {
    let (domain, mut allocator) = (Domain::new(2, 4), Allocator::new(1));
    let keys = domain.engines.iter().map(|engine| engine.key);
    let excluding = Ask {
        excluded: keys.collect(),
        ..ask(1)
    };
    let waits = domain.ask(&mut allocator, excluding, ms(0));
    assert_eq!(waits, [(1, Reply::Queued)]);
    for number in 2..8 {
        let answers = domain.ask(&mut allocator, ask(number), ms(number));
        let granted = |(_, reply): &(u64, Reply)| matches!(reply, Reply::Grant { .. });
        assert!(answers.iter().any(granted), "{answers:?}");
    }
}

/// Load: the first waiting request needs more memory than is free, and small requests that follow each other would use
/// what becomes free. An engine is kept for it, so it starts once the work there has ended.
#[test]
fn blocked_is_served() {
    let (domain, mut allocator) = (Domain::new(3, 16), Allocator::new(1));
    let small = |number| Ask {
        tokens: 100_000,
        ..ask(number)
    };
    let large = Ask {
        tokens: 350_000,
        ..ask(10_000)
    };
    let mut running: Vec<(u64, u64)> = Vec::new();
    let mut passed = 0;
    for now in 0..3_000 {
        domain.now.set(ms(now));
        let ended: Vec<_> = running.extract_if(.., |(end, _)| *end <= now).collect();
        let mut answers = Vec::new();
        for (_, permit) in ended {
            domain.view.borrow_mut().end_permit(permit);
            answers.extend(replies(allocator.free(&domain, ms(now))));
        }
        if now == 500 || now > 500 && now % 100 == 0 {
            answers.extend(domain.ask(&mut allocator, large.clone(), ms(now)));
        }
        if now % 32 == 0 {
            answers.extend(domain.ask(&mut allocator, small(now), ms(now)));
        }
        let is_large = |(number, reply): &(u64, Reply)| {
            *number == 10_000 && matches!(reply, Reply::Grant { .. })
        };
        if answers.iter().any(is_large) {
            assert!(passed >= 3, "{passed} small ones went first");
            return;
        }
        for (_, reply) in &answers {
            if let Reply::Grant { permit, .. } = reply {
                passed += u32::from(now > 500);
                running.push((now + 250, *permit));
            }
        }
    }
    panic!("not served, {passed} small ones went first");
}

/// Failure: the service of the first waiting request is removed from the configuration. It is refused; others are served.
#[test]
fn removed_service() {
    struct Removed<'a>(&'a Domain);
    impl jujubehook::entry::permit::Slots for Removed<'_> {
        fn known(&self, ask: &Ask) -> Option<jujubehook::entry::permit::Known> {
            (ask.number != 2).then(|| self.0.known(ask)).flatten()
        }
        fn heartbeat_interval(&self) -> std::time::Duration {
            self.0.heartbeat_interval()
        }
        fn grant(&self, permit: jujubehook::entry::Permit) {
            self.0.grant(permit);
        }
    }
    let (domain, mut allocator) = (Domain::new(1, 1), Allocator::new(1));
    let first = permit(&domain.ask(&mut allocator, ask(1), ms(0))[0].1);
    let long = Ask {
        objective_ms: 60_000,
        left_ms: 60_000,
        ..ask(3)
    };
    for waiting in [ask(2), long] {
        assert_eq!(
            domain.ask(&mut allocator, waiting, ms(0))[0].1,
            Reply::Queued
        );
    }
    domain.view.borrow_mut().end_permit(first);
    domain.now.set(ms(10));
    let answers = replies(allocator.free(&Removed(&domain), ms(10)));
    assert!(
        matches!(answers[0], (2, Reply::Refused { .. })),
        "{answers:?}"
    );
    assert!(
        matches!(answers[1], (3, Reply::Grant { .. })),
        "{answers:?}"
    );
}

/// Load: two hundred callers are refused at the same time. They must not return at the same time.
#[test]
fn refused_return_apart() {
    let (domain, mut allocator) = (Domain::new(1, 1), Allocator::new(1));
    permit(&domain.ask(&mut allocator, ask(0), ms(0))[0].1);
    assert_eq!(
        domain.ask(&mut allocator, ask(1), ms(0))[0].1,
        Reply::Queued
    );
    // Twenty slots became free in the last second.
    for _ in 0..20 {
        assert_eq!(allocator.free(&domain, ms(0)), []);
    }
    let refused = (2..=201).filter_map(|number| {
        let ask = Ask {
            objective_ms: 300,
            left_ms: 2_000,
            ..ask(number)
        };
        match domain.ask(&mut allocator, ask, ms(0))[0].1 {
            Reply::Refused { retry_ms } => Some(retry_ms),
            _ => None,
        }
    });
    let mut times: Vec<u32> = refused.collect();
    times.sort_unstable();
    assert!(times.len() >= 190, "{} refused", times.len());
    assert!(
        times[0] >= 200 && times[times.len() - 1] <= 5_000,
        "{times:?}"
    );
    let most = times.iter().map(|time| {
        times
            .iter()
            .filter(|other| *other / 20 == time / 20)
            .count()
    });
    let most = most.max().unwrap();
    assert!(most <= 10, "{most} within 20 ms");
}

/// Load: a domain is full while another one has free slots. A request is sent there once; one that was redirected is
/// not redirected again.
#[test]
fn redirected_once() {
    let (mut domain, mut allocator) = (Domain::new(1, 1), Allocator::new(1));
    domain.elsewhere.push(Room {
        domain: "south".into(),
        free: 10,
    });
    permit(&domain.ask(&mut allocator, ask(1), ms(0))[0].1);
    let south = Reply::Elsewhere {
        domain: "south".into(),
    };
    assert_eq!(domain.ask(&mut allocator, ask(2), ms(1)), [(2, south)]);
    let redirected = Ask {
        redirected: true,
        ..ask(3)
    };
    let waits = domain.ask(&mut allocator, redirected, ms(1));
    assert_eq!(waits, [(3, Reply::Queued)]);
    assert_eq!(allocator.waiting(), 1);
}

/// Failure: an instance sends counts and times that no instance has.
#[test]
fn impossible_messages() {
    let is_valid = |messages: Vec<Message>| {
        let envelope = Envelope {
            messages,
            ..Envelope::default()
        };
        envelope.check().is_ok()
    };
    let changed = |change: fn(&mut Ask)| {
        let mut ask = ask(1);
        change(&mut ask);
        is_valid(vec![Message::Ask(ask)])
    };
    assert!(changed(|_| {}));
    assert!(!changed(|ask| ask.gap_ms = 3_600_001));
    assert!(!changed(|ask| ask.objective_ms = u32::MAX));
    assert!(!changed(|ask| ask.left_ms = u32::MAX));
    assert!(!changed(|ask| ask.excluded = vec![1; 33]));
    let row = |running, short| {
        let mut update = update(1, 7, 1);
        (update.row.running, update.row.short) = (running, short);
        is_valid(vec![Message::Update(update)])
    };
    // As many as an address has ports: a stalled plain target gets more than 10,000 from one instance.
    assert!(row(65_535, 65_535) && row(0, 0));
    assert!(!row(65_536, 0) && !row(1, 2) && !row(u32::MAX, u32::MAX));
    let retry_ms = u32::MAX;
    assert!(!is_valid(vec![Message::Reply(
        1,
        Reply::Refused { retry_ms }
    )]));
    assert!(is_valid(vec![Message::Return(1, 1); 256]));
    assert!(!is_valid(vec![Message::Return(1, 1); 257]));
}

/// Failure: a heartbeat states a processor share that no instance has, which would win every election, or an impossible
/// count. The error names the field and the range.
#[test]
fn impossible_heartbeats() {
    let checked = |processor, running| {
        let mut heartbeat = heartbeat(1, &[7]);
        (heartbeat.processor, heartbeat.rows[0].running) = (processor, running);
        heartbeat.check().map_err(|error| error.to_string())
    };
    assert_eq!(checked(8_192_000, 65_535), Ok(()));
    let refused = checked(8_192_001, 1).unwrap_err();
    assert_eq!(refused, "`processor` is 8192001, the maximum is 8192000");
    let refused = checked(1_000, 65_536).unwrap_err();
    assert_eq!(refused, "`running` is 65536, the maximum is 65535");
}

/// Failure: the update that reports a start is lost at 200 instances, whose heartbeats are 438 ms apart. The slot must not
/// be granted again before the heartbeat that reports the start.
#[test]
fn lost_update() {
    let (mut domain, mut allocator) = (Domain::new(1, 1), Allocator::new(1));
    domain.interval = ms(438);
    domain.view.borrow_mut().receive(&heartbeat(1, &[]), ms(0));
    permit(&domain.ask(&mut allocator, ask(1), ms(0))[0].1);
    for now in [310, 440] {
        let answers = domain.ask(&mut allocator, ask(now), ms(now));
        assert_eq!(answers, [(now, Reply::Queued)]);
    }
    let mut started = heartbeat(2, &[]);
    started.rows = vec![row(domain.engines[0].key)];
    domain.view.borrow_mut().receive(&started, ms(580));
    domain.now.set(ms(600));
    assert_eq!(allocator.tick(&domain, ms(600)), []);
}

/// Load: the own domain is full and names another one, which refuses. The queue of the own domain is asked before the
/// caller is refused, and its answer is final.
#[test]
fn refused_elsewhere() {
    let mut search = Search::new("north".into(), "north".into(), false);
    assert!(search.start_ask() && !search.is_redirected());
    search.redirect("south".into());
    assert!(search.start_ask() && search.is_redirected());
    assert_eq!(search.domain(), "south");
    assert!(search.refused(), "the own queue was not asked");
    assert!(search.start_ask() && search.is_redirected());
    assert_eq!((search.domain(), search.asks()), ("north", 3));
    assert!(!search.refused());
    // A domain without a usable engine cannot serve the request.
    let mut search = Search::new("south".into(), "north".into(), false);
    assert!(search.start_ask() && !search.refused());
    assert!(search.fall_back() && !search.fall_back());
    assert_eq!((1..9).filter(|_| search.start_ask()).count(), 3);
}

/// Failure: the task that looks at the queue panics. The next ask must be able to start it again.
#[test]
fn panicked_tick() {
    let runs = Rc::default();
    let single = Single::start(&runs).unwrap();
    assert!(Single::start(&runs).is_none());
    let task = AssertUnwindSafe(move || {
        let _single = single;
        panic!("a fault");
    });
    assert!(catch_unwind(task).is_err());
    assert!(Single::start(&runs).is_some());
}

/// Load: requests of plain services and long prompts end beside those with short prompts. Only the latter count in the rate
/// by which the wait of short prompts is predicted.
#[test]
fn ends_that_free() {
    let mut view = View::default();
    let mut frees = |short, helpers: &[(u32, u32)], part| {
        let number = view.start(Work {
            background: false,
            gap: ms(250),
            held: false,
            helpers: helpers.to_vec(),
            part_time: ms(part),
            primary: 7,
            rank: 0,
            short,
            start: ms(0),
            tokens: 100,
        });
        view.finish(number).map(|work| work.frees_slot())
    };
    assert_eq!(frees(true, &[], 30), Some(true));
    assert_eq!(frees(false, &[(8, 0)], 90), Some(false), "a long prompt");
    assert_eq!(frees(false, &[], 0), Some(false), "a plain service");
}

/// Failure: fields of a heartbeat are encoded by position, so one that is left out takes the place of the next one. An
/// instance that stops states a share of 0, also beside measured times.
#[test]
fn heartbeat_is_read_back() {
    for (processor, samples) in [
        (0, vec![]),
        (0, vec![(1, 12)]),
        (500, vec![]),
        (500, vec![(1, 12)]),
    ] {
        let sent = Heartbeat {
            processor,
            samples,
            ..heartbeat(1, &[7])
        };
        let bytes = rmp_serde::to_vec(&sent).unwrap();
        assert_eq!(rmp_serde::from_slice::<Heartbeat>(&bytes).unwrap(), sent);
    }
}

/// Failure: an allocator forgets a waiting request, whose ask is repeated then. Its time to wait must not begin anew.
#[test]
fn repeated_ask_ages() {
    let (first, later) = (ask(1), ask(1).aged(ms(3_000)));
    assert_eq!((later.objective_ms, later.left_ms), (7_000, 17_000));
    assert_eq!((later.number, later.prompt), (first.number, first.prompt));
    assert_eq!(first.aged(ms(60_000)).left_ms, 0);
}

/// Load: more messages wait for an instance than it accepts in one datagram. None is dropped, and they stay in order.
#[test]
fn many_messages() {
    let address = |number: u64| ([127, 0, 0, number as u8], 7_000).into();
    let posted = (0..1_000).map(|number| (address(number % 2), Message::Return(number, 0)));
    let batches = batch(posted);
    for receiver in 0..2 {
        let own = batches.iter().filter(|(to, _)| *to == address(receiver));
        let mut sent = Vec::new();
        for (_, messages) in own {
            let envelope = Envelope {
                messages: messages.clone(),
                ..Envelope::default()
            };
            assert_eq!(envelope.check(), Ok(()));
            sent.extend_from_slice(messages);
        }
        let expected = (0..500).map(|number| Message::Return(number * 2 + receiver, 0));
        assert_eq!(sent, expected.collect::<Vec<_>>());
    }
}

/// Failure: instances that see the same members choose different allocators, a weak or stopping one, or one that does not
/// reply.
#[test]
fn elected_alike() {
    let names: Vec<String> = (0..40).map(|number| format!("instance-{number}")).collect();
    let mut random = fastrand::Rng::with_seed(1);
    for largest in [1, 2, 501, 1_000] {
        let mut candidates: Vec<Candidate<'_>> = names
            .iter()
            .map(|name| Candidate {
                instance: name,
                processor: random.u32(..=largest),
            })
            .collect();
        candidates[7].processor = largest;
        let elected = elect(&candidates).unwrap();
        for _ in 0..20 {
            random.shuffle(&mut candidates);
            assert_eq!(elect(&candidates), Some(elected));
        }
        let chosen = candidates.iter().find(|other| other.instance == elected);
        assert!(
            chosen.unwrap().processor * 2 >= largest,
            "{largest}: {elected}"
        );
    }
    let mut candidates: Vec<Candidate<'_>> = names
        .iter()
        .map(|name| Candidate {
            instance: name,
            processor: 0,
        })
        .collect();
    for least in 0..candidates.len() {
        candidates[least].processor = 1;
        assert_eq!(elect(&candidates), Some(names[least].as_str()));
        candidates[least].processor = 0;
    }
    let stopping = names.iter().map(|instance| Candidate {
        instance,
        processor: 0,
    });
    assert!(elect(&stopping.collect::<Vec<_>>()).is_some());
    assert_eq!(elect(&[]), None);
    let mut unresponsive = Unresponsive::default();
    unresponsive.mark("instance-1", ms(100));
    assert!(unresponsive.contains("instance-1", ms(1_099)));
    assert!(!unresponsive.contains("instance-1", ms(1_100)));
    assert!(!unresponsive.contains("instance-2", ms(100)));
}
