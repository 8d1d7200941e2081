//! Guards against requests that crash one target after the other because of a fragment of their prompts, and against
//! bans of other fragments near the crashes.

mod entry_fixtures;

use std::time::Duration;

use entry_fixtures::ms;
use jujubehook::entry::quarantine::{Quarantine, Report};
use jujubehook::entry::{FragmentKey, TargetKey};

/// The fragment that crashes targets.
const CRASHING: FragmentKey = 1;

/// A fragment that all crashing requests share with sound ones.
const POPULAR: FragmentKey = 2;

/// Maximum time until all instances ban a fragment after its fifth crash: the time in which deployments have to settle.
const AGREEMENT: Duration = Duration::from_secs(3);

/// Instances that exchange reports.
struct Fleet {
    instances: Vec<Quarantine>,
    next_target: TargetKey,
}

impl Fleet {
    fn new(count: usize) -> Self {
        Self {
            instances: vec![Quarantine::default(); count],
            next_target: 0,
        }
    }

    /// A target ends that had requests with these fragments from these instances.
    fn crash(&mut self, requests: &[(usize, &[FragmentKey])], now: Duration) {
        self.next_target += 1;
        for (at, fragments) in requests {
            self.instances[*at].record_crash(fragments, self.next_target, now);
        }
    }

    fn answer(&mut self, at: usize, fragments: &[FragmentKey], now: Duration) {
        self.instances[at].record_answer(fragments, now);
    }

    /// Each instance receives the reports of all others.
    fn exchange(&mut self, now: Duration) {
        let reports: Vec<Report> = self.instances.iter().map(|own| own.report(now)).collect();
        for (at, own) in self.instances.iter_mut().enumerate() {
            let others = reports.iter().enumerate().filter(|(from, _)| *from != at);
            for (_, report) in others {
                own.receive(report, now);
            }
            own.expire(now);
        }
    }

    /// The number of instances that suspect or ban a fragment.
    fn restricting(&self, fragment: FragmentKey) -> usize {
        let restricting = |own: &&Quarantine| own.restricted(&[fragment]).is_some();
        self.instances.iter().filter(restricting).count()
    }

    /// The number of instances that ban a fragment.
    fn banning(&self, fragment: FragmentKey) -> usize {
        let banning = |own: &&Quarantine| own.banned(&[fragment]).is_some();
        self.instances.iter().filter(banning).count()
    }

    /// Begins a trial at one instance if one is due there, and tells the others.
    fn try_fragment(&mut self, at: usize, fragments: &[FragmentKey], now: Duration) -> bool {
        if !self.instances[at].is_trial_due(fragments, now) {
            return false;
        }
        self.instances[at].begin_trial(fragments, now);
        self.exchange(now);
        true
    }
}

/// Each crash falls on another instance. All of them ban the fragment in time, and not the popular fragment that every
/// crashing request has too.
#[test]
fn crashes_are_added_up() {
    let mut fleet = Fleet::new(13);
    fleet.answer(12, &[POPULAR], ms(0));
    let mut now = ms(1_000);
    for crash in 0..5 {
        fleet.crash(
            &[
                (crash, &[POPULAR, CRASHING]),
                (crash + 5, &[100 + crash as u64]),
            ],
            now,
        );
        fleet.exchange(now + ms(70));
        now += ms(130);
    }
    let fifth = now - ms(130);
    while fleet.banning(CRASHING) < 13 {
        let is_restricted = fleet.restricting(CRASHING) == 13;
        if !is_restricted || fleet.try_fragment(1, &[POPULAR, CRASHING], now) {
            fleet.crash(&[(1, &[POPULAR, CRASHING])], now + ms(50));
        }
        fleet.exchange(now + ms(70));
        now += ms(130);
        assert!(now < fifth + AGREEMENT, "{} agree", fleet.banning(CRASHING));
    }
    assert_eq!(fleet.restricting(POPULAR), 0);
    assert!((100..105).all(|fragment| fleet.restricting(fragment) == 0));
}

/// Three targets in a row crash for another reason, each with a request that has the same sound fragment. It is not
/// banned: one request with it is sent, and its answer releases the fragment everywhere.
#[test]
fn sound_fragment_is_not_banned() {
    let mut fleet = Fleet::new(3);
    for crash in 0..3 {
        fleet.crash(&[(crash, &[POPULAR])], ms(1_000 + crash as u64 * 400));
        fleet.exchange(ms(1_050 + crash as u64 * 400));
    }
    assert_eq!((fleet.restricting(POPULAR), fleet.banning(POPULAR)), (3, 0));
    assert!(fleet.try_fragment(1, &[POPULAR], ms(2_000)));
    let others = [0, 2].map(|at| fleet.instances[at].is_trial_due(&[POPULAR], ms(2_010)));
    assert_eq!(others, [false, false]);
    fleet.answer(1, &[POPULAR], ms(2_600));
    fleet.exchange(ms(2_650));
    assert_eq!(fleet.restricting(POPULAR), 0);
}

/// Targets crash again and again for another reason, also those of trials. Other targets that end meanwhile tell that
/// the fragment is not the cause, whether they were sent prompts or not.
#[test]
fn common_crashes_prove_nothing() {
    let mut fleet = Fleet::new(3);
    let mut trials = 0;
    for wave in 0..60 {
        let now = ms(1_000 + wave * 300);
        fleet.next_target += 1;
        let other = fleet.next_target;
        fleet.instances[2].record_end(other, now);
        fleet.exchange(now + ms(20));
        let is_restricted = fleet.restricting(POPULAR) == 3;
        if !is_restricted || fleet.try_fragment(1, &[POPULAR], now + ms(30)) {
            trials += u32::from(is_restricted);
            fleet.crash(&[(1, &[POPULAR])], now + ms(200));
        }
        fleet.exchange(now + ms(250));
        assert_eq!(fleet.banning(POPULAR), 0, "after {wave} waves");
    }
    assert!((3..=6).contains(&trials), "{trials} trials");
}

/// A fragment of many requests is near crashes that other requests cause, but it is answered in between.
#[test]
fn answered_fragment_is_not_banned() {
    let mut fleet = Fleet::new(3);
    for round in 0..50 {
        let now = ms(1_000 + round * 400);
        fleet.crash(&[(0, &[POPULAR])], now);
        fleet.answer(1, &[POPULAR], now + ms(200));
        fleet.exchange(now + ms(300));
        assert_eq!(fleet.restricting(POPULAR), 0, "after {round} crashes");
    }
}

/// A fault that ends many targets at once says nothing about the fragments of their requests.
#[test]
fn common_fault_bans_nothing() {
    let mut fleet = Fleet::new(3);
    for crash in 0..12 {
        fleet.crash(&[(crash % 3, &[POPULAR])], ms(1_000 + crash as u64 * 15));
    }
    fleet.exchange(ms(1_300));
    assert_eq!(fleet.restricting(POPULAR), 0);
}

/// One crash that several instances see, each with a request of its own, counts once.
#[test]
fn one_crash_counts_once() {
    let mut fleet = Fleet::new(13);
    let requests: Vec<(usize, &[FragmentKey])> = (0..13).map(|at| (at, &[CRASHING][..])).collect();
    fleet.crash(&requests, ms(1_000));
    for round in 0..20 {
        fleet.exchange(ms(1_000 + round * 400));
    }
    assert_eq!(fleet.restricting(CRASHING), 0);
}

/// The instances that answered on the popular fragment report it only after others suspect it: the suspicion moves to
/// the fragment that was never answered, everywhere.
#[test]
fn late_answers_correct_the_ban() {
    let mut fleet = Fleet::new(3);
    fleet.answer(2, &[POPULAR], ms(500));
    for crash in 0..3 {
        fleet.crash(&[(0, &[POPULAR, CRASHING])], ms(1_000 + crash * 300));
    }
    for round in 0..4 {
        fleet.exchange(ms(2_000 + round * 100));
    }
    let restricting = [CRASHING, POPULAR].map(|fragment| fleet.restricting(fragment));
    assert_eq!(restricting, [3, 0]);
}

/// Two fragments crash targets at the same time; both are banned.
#[test]
fn two_fragments_are_found() {
    let mut fleet = Fleet::new(3);
    for crash in 0..8 {
        let now = ms(1_000 + crash * 300);
        let fragment = if crash % 2 == 0 {
            CRASHING
        } else {
            CRASHING + 10
        };
        fleet.crash(
            &[(crash as usize % 3, &[fragment]), (0, &[50 + crash])],
            now,
        );
        fleet.exchange(now + ms(70));
    }
    for fragment in [CRASHING, CRASHING + 10] {
        assert_eq!(fleet.restricting(fragment), 3);
        prove(&mut fleet, fragment, ms(5_000));
    }
    assert!((50..58).all(|fragment| fleet.restricting(fragment) == 0));
}

/// An instance that restarts has no memory; it learns from the others' next reports what is banned.
#[test]
fn restarted_instance_learns() {
    let mut fleet = Fleet::new(3);
    ban(&mut fleet, CRASHING);
    fleet.instances[1] = Quarantine::default();
    let now = ms(70_000);
    fleet.exchange(now);
    assert_eq!(fleet.banning(CRASHING), 3);
}

/// A fragment is released everywhere after a trial was answered, and stays released although others still report the
/// ban.
#[test]
fn answered_trial_releases() {
    let mut fleet = Fleet::new(3);
    let since = ban(&mut fleet, CRASHING);
    let due = since + Duration::from_secs(20);
    assert!(!fleet.instances[0].is_trial_due(&[CRASHING], since));
    assert!(fleet.instances[0].is_trial_due(&[CRASHING], due));
    fleet.instances[0].begin_trial(&[CRASHING], due);
    fleet.exchange(due + ms(50));
    assert!(!fleet.instances[1].is_trial_due(&[CRASHING], due + ms(60)));
    fleet.answer(0, &[CRASHING], due + ms(100));
    for round in 0..40 {
        fleet.exchange(due + ms(150 + round * 400));
    }
    assert_eq!(fleet.restricting(CRASHING), 0);
}

/// A fragment that goes on crashing costs one target for each trial. Of the three requests that may reach targets after
/// the fifth crash and the time to agree, at most two are trials within an hour.
#[test]
fn trials_get_rarer() {
    let mut own = Quarantine::default();
    for crash in 0..3 {
        own.record_crash(&[CRASHING], crash, ms(1_000 + u64::from(crash) * 300));
    }
    let mut trials = Vec::new();
    for second in 2..3_600 {
        let now = Duration::from_secs(second);
        if own.is_trial_due(&[CRASHING], now) {
            own.begin_trial(&[CRASHING], now);
            own.record_crash(&[CRASHING], 1_000 + second as u32, now);
            trials.push(now);
        }
        own.expire(now);
    }
    let agreement = trials[1] + AGREEMENT;
    let later = trials.iter().filter(|trial| **trial > agreement).count();
    assert_eq!(trials.len(), later + 2, "{trials:?}");
    assert!((1..=2).contains(&later), "{trials:?}");
}

/// Callers choose the ids of fragments. Neither the memory nor the reports grow with their number.
#[test]
fn reports_are_bounded() {
    let mut own = Quarantine::default();
    for number in 0..2_000_u64 {
        let now = ms(number);
        own.record_crash(&[number, number + 1, number + 2], number as TargetKey, now);
        own.record_answer(&[1_000_000 + number], now);
    }
    let report = own.report(ms(2_000));
    let bytes = rmp_serde::to_vec(&report).unwrap().len();
    assert!(bytes <= 4_096, "{bytes} bytes");
}

/// Three crashes with a fragment on different instances and two trials that fail, known to all; returns the time of the
/// ban.
fn ban(fleet: &mut Fleet, fragment: FragmentKey) -> Duration {
    let mut now = ms(1_000);
    for crash in 0..3 {
        now += ms(300);
        fleet.crash(&[(crash, &[fragment])], now);
        fleet.exchange(now + ms(50));
    }
    prove(fleet, fragment, now + ms(100))
}

/// Two trials of a suspected fragment fail, and all instances ban it; returns the time of the ban.
fn prove(fleet: &mut Fleet, fragment: FragmentKey, mut now: Duration) -> Duration {
    for trial in 0..2 {
        assert!(fleet.try_fragment(0, &[fragment], now), "trial {trial}");
        now += ms(500);
        fleet.crash(&[(0, &[fragment])], now);
        fleet.exchange(now + ms(50));
        now += ms(600);
    }
    assert_eq!(fleet.banning(fragment), fleet.instances.len());
    now - ms(600)
}

/// A trial that no target ran, for example because its target was already gone, tells nothing: the next one is due at
/// once and not later than without it.
#[test]
fn trial_is_taken_back() {
    let mut own = Quarantine::default();
    for crash in 0..3 {
        own.record_crash(&[CRASHING], crash, ms(1_000 + u64::from(crash) * 300));
    }
    for round in 0..10 {
        let now = ms(2_000 + round * 100);
        assert!(own.is_trial_due(&[CRASHING], now), "round {round}");
        own.begin_trial(&[CRASHING], now);
        assert!(!own.is_trial_due(&[CRASHING], now + ms(10)));
        own.cancel_trial(&[CRASHING], now + ms(20));
    }
    // Requests that are no trials take nothing back.
    own.begin_trial(&[CRASHING], ms(4_000));
    own.record_crash(&[CRASHING], 100, ms(4_100));
    own.cancel_trial(&[CRASHING], ms(4_200));
    assert!(!own.is_trial_due(&[CRASHING], ms(4_300)));
}
