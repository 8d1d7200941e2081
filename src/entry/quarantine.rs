//! Parts of prompts at which targets crash.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{PartKey, TargetKey};

/// Number of crashes with a part after which it is held back.
const CRASHES: usize = 3;

/// Minimum time between two crashes that count: a fault that ends many targets at once says nothing about a part.
const CRASH_INTERVAL: Duration = Duration::from_millis(250);

/// Time within which reports of the end of one target are about the same crash.
const SAME_CRASH: Duration = Duration::from_secs(2);

/// Time for which a crash counts.
const CRASH_LIFETIME: Duration = Duration::from_secs(60);

/// Time for which an instance reports a crash that it saw; several heartbeats may be lost meanwhile.
const REPORT_TIME: Duration = Duration::from_secs(10);

/// Time from the beginning of a hold to the first trial.
const FIRST_HOLD: Duration = Duration::from_secs(15);

/// Maximum time to the next trial.
const MAX_HOLD: Duration = Duration::from_secs(3_600);

/// Factor by which each failed trial extends the time to the next one.
const HOLD_FACTOR: u32 = 16;

/// Maximum number of crashes that are remembered of a part, the latest ones.
const MAX_CRASHES: usize = 32;

/// Maximum number of parts with crashes or holds.
const MAX_PARTS: usize = 256;

/// Maximum number of parts whose last answer is remembered.
const MAX_ANSWERS: usize = 4_096;

/// Maximum number of crashes, of answers and of holds in a report.
const MAX_REPORTED: usize = 64;

/// A target that ended when it should have begun to write an answer on a part.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Time since the end, in milliseconds.
    pub age_ms: u32,
    /// The part.
    pub part: PartKey,
    /// The target.
    pub target: TargetKey,
}

/// A part with which no request is sent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hold {
    /// Time until the next trial, in milliseconds.
    pub left_ms: u32,
    /// The part.
    pub part: PartKey,
    /// Trials so far.
    pub trials: u32,
}

/// What an instance tells others about parts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Time in milliseconds since the sender's last answer on parts that are known to be near crashes.
    pub answers: Vec<(PartKey, u32)>,
    /// Crashes that the sender saw.
    pub crashes: Vec<Crash>,
    /// Parts that the sender holds back.
    pub holds: Vec<Hold>,
}

impl Report {
    /// Whether it carries nothing that the earlier report `before` lacks, apart from ages.
    pub fn repeats(&self, before: &Report) -> bool {
        let crashes = |report: &Report| -> Vec<(PartKey, TargetKey)> {
            let crashes = report.crashes.iter();
            crashes.map(|crash| (crash.part, crash.target)).collect()
        };
        let holds = |report: &Report| -> Vec<(PartKey, u32)> {
            let holds = report.holds.iter();
            holds.map(|hold| (hold.part, hold.trials)).collect()
        };
        crashes(self) == crashes(before)
            && holds(self) == holds(before)
            && self.answers.len() == before.answers.len()
    }
}

/// Finds parts of prompts at which targets crash, and holds them back.
///
/// A crash accuses all parts of the requests that the target had not begun to answer. A part that crashes targets is
/// near every crash and never answered; a popular part is near many crashes too, but answered in between. So a part is
/// held back after several crashes without an answer since; of several such parts, the one whose last answer is the
/// oldest. A crash with a part that is held back accuses no other part.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// This instance's last answers, sorted by part.
    answers: Vec<(PartKey, Duration)>,
    /// Sorted by key.
    parts: Vec<Part>,
}

#[derive(Clone, Debug)]
struct Part {
    /// Last answer at any instance.
    answered: Option<Duration>,
    /// Time of the last answer that cleared the part.
    cleared: Option<Duration>,
    /// In order of time.
    crashes: Vec<Seen>,
    hold: Option<Held>,
    key: PartKey,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    at: Duration,
    /// Whether this instance saw it.
    own: bool,
    target: TargetKey,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    since: Duration,
    trials: u32,
    until: Duration,
}

impl Quarantine {
    /// Records that a target ended which had not begun to answer a request with these parts. Returns the parts that are
    /// held back from now on.
    pub fn record_crash(
        &mut self,
        parts: &[PartKey],
        target: TargetKey,
        now: Duration,
    ) -> Vec<PartKey> {
        for key in parts {
            self.add_crash(*key, target, now, true);
        }
        self.hold_back(now)
    }

    /// Records that a target wrote an answer on these parts.
    pub fn record_answer(&mut self, parts: &[PartKey], now: Duration) {
        for key in parts {
            match self.answers.binary_search_by_key(key, |(key, _)| *key) {
                Ok(at) => self.answers[at].1 = now,
                Err(at) => self.answers.insert(at, (*key, now)),
            }
            if let Ok(at) = self.find(*key) {
                self.parts[at].clear(now);
            }
        }
        if self.answers.len() > MAX_ANSWERS {
            let oldest = self.answers.iter().map(|(_, at)| *at).min();
            self.answers.retain(|(_, at)| Some(*at) > oldest);
        }
    }

    /// Applies another instance's report. Returns the parts that are held back from now on.
    pub fn receive(&mut self, report: &Report, now: Duration) -> Vec<PartKey> {
        let time = |age_ms: u32| now.saturating_sub(Duration::from_millis(u64::from(age_ms)));
        let mut is_news = false;
        for crash in &report.crashes {
            is_news |= self.add_crash(crash.part, crash.target, time(crash.age_ms), false);
        }
        for (key, age_ms) in &report.answers {
            if let Ok(at) = self.find(*key) {
                is_news = true;
                self.parts[at].clear(time(*age_ms));
            }
        }
        let mut held: Vec<PartKey> = Vec::new();
        for hold in &report.holds {
            if self.adopt(hold, now) {
                held.push(hold.part);
            }
        }
        if is_news {
            held.extend(self.hold_back(now));
        }
        held
    }

    /// What to tell other instances.
    pub fn report(&self, now: Duration) -> Report {
        let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u32;
        let mut report = Report::default();
        for part in &self.parts {
            let recent = |seen: &&Seen| seen.own && now < seen.at + REPORT_TIME;
            report
                .crashes
                .extend(part.crashes.iter().filter(recent).map(|seen| Crash {
                    age_ms: age_ms(seen.at),
                    part: part.key,
                    target: seen.target,
                }));
            if let Ok(at) = self
                .answers
                .binary_search_by_key(&part.key, |(key, _)| *key)
            {
                report.answers.push((part.key, age_ms(self.answers[at].1)));
            }
            report.holds.extend(part.hold.map(|hold| Hold {
                left_ms: hold.until.saturating_sub(now).as_millis() as u32,
                part: part.key,
                trials: hold.trials,
            }));
        }
        report.crashes.sort_by_key(|crash| crash.age_ms);
        report.answers.truncate(MAX_REPORTED);
        report.crashes.truncate(MAX_REPORTED);
        report.holds.truncate(MAX_REPORTED);
        report
    }

    /// The first of these parts that is held back, even if a trial is due.
    pub fn held(&self, parts: &[PartKey]) -> Option<PartKey> {
        let is_held = |key: &PartKey| {
            let found = self.find(*key);
            found.is_ok_and(|at| self.parts[at].hold.is_some())
        };
        parts.iter().copied().find(is_held)
    }

    /// Whether a request with these parts may be sent as a trial.
    pub fn is_trial_due(&self, parts: &[PartKey], now: Duration) -> bool {
        let holds = || {
            let found = parts.iter().filter_map(|key| self.find(*key).ok());
            found.filter_map(|at| self.parts[at].hold)
        };
        holds().count() == 1 && holds().all(|hold| hold.until <= now)
    }

    /// Begins a trial: no other one is due until its outcome is known or the next one is due.
    pub fn begin_trial(&mut self, parts: &[PartKey], now: Duration) {
        for key in parts {
            if let Ok(at) = self.find(*key) {
                if let Some(hold) = &mut self.parts[at].hold {
                    hold.trials += 1;
                    hold.until = now + hold_time(hold.trials);
                }
            }
        }
    }

    /// Targets that ended near a part, as far as this instance knows.
    pub fn crash_targets(&self, key: PartKey) -> Vec<TargetKey> {
        let found = self.find(key).ok().map(|at| &self.parts[at]);
        let crashes = found.map_or(&[][..], |part| &part.crashes[..]);
        crashes.iter().map(|seen| seen.target).collect()
    }

    /// All parts that are held back, sorted.
    pub fn all_held(&self) -> Vec<PartKey> {
        let held = self.parts.iter().filter(|part| part.hold.is_some());
        held.map(|part| part.key).collect()
    }

    /// Holds back a part that was held back before a restart; false if it is held back already.
    pub fn restore(&mut self, key: PartKey, now: Duration) -> bool {
        let left_ms = hold_time(0).as_millis() as u32;
        let hold = Hold {
            left_ms,
            part: key,
            trials: 0,
        };
        self.adopt(&hold, now)
    }

    /// Removes crashes that are too old to count.
    pub fn expire(&mut self, now: Duration) {
        for part in &mut self.parts {
            part.crashes.retain(|seen| now < seen.at + CRASH_LIFETIME);
        }
        let is_reported = |part: &Part| {
            part.cleared
                .is_some_and(|cleared| now < cleared + REPORT_TIME)
        };
        self.parts
            .retain(|part| part.hold.is_some() || !part.crashes.is_empty() || is_reported(part));
    }

    fn find(&self, key: PartKey) -> Result<usize, usize> {
        self.parts.binary_search_by_key(&key, |part| part.key)
    }

    /// The entry of a part; the part without a hold whose last crash is the oldest makes room for it.
    fn part(&mut self, key: PartKey) -> &mut Part {
        if self.find(key).is_err() && self.parts.len() >= MAX_PARTS {
            let last = |part: &Part| part.crashes.last().map(|seen| seen.at);
            let free = self.parts.iter().enumerate();
            let free = free.filter(|(_, part)| part.hold.is_none());
            if let Some((at, _)) = free.min_by_key(|(_, part)| last(part)) {
                self.parts.remove(at);
            }
        }
        let own = self.answers.binary_search_by_key(&key, |(key, _)| *key);
        let answered = own.ok().map(|at| self.answers[at].1);
        let at = self.find(key).unwrap_or_else(|at| {
            let part = Part {
                answered,
                cleared: None,
                crashes: Vec::new(),
                hold: None,
                key,
            };
            self.parts.insert(at, part);
            at
        });
        &mut self.parts[at]
    }

    /// Adds a crash; false if it is known already, or if the part was answered since.
    fn add_crash(&mut self, key: PartKey, target: TargetKey, at: Duration, own: bool) -> bool {
        let part = self.part(key);
        if part.answered.is_some_and(|answered| at <= answered) {
            part.cleared = part.answered;
            return false;
        }
        let same = part
            .crashes
            .iter_mut()
            .find(|seen| seen.is_same(target, at));
        match same {
            Some(seen) => {
                seen.own |= own;
                false
            }
            None => {
                let place = part.crashes.partition_point(|seen| seen.at <= at);
                part.crashes.insert(place, Seen { at, own, target });
                let excess = part.crashes.len().saturating_sub(MAX_CRASHES);
                part.crashes.drain(..excess);
                true
            }
        }
    }

    /// Adopts a hold of another instance; false if it is known already, or if the part was answered since.
    fn adopt(&mut self, hold: &Hold, now: Duration) -> bool {
        let left = Duration::from_millis(u64::from(hold.left_ms)).min(MAX_HOLD);
        let full = hold_time(hold.trials);
        let since = (now + left).saturating_sub(full);
        let part = self.part(hold.part);
        if part.answered.is_some_and(|answered| since <= answered) {
            return false;
        }
        let known = part.hold;
        if known.is_none_or(|known| known.trials < hold.trials) {
            part.hold = Some(Held {
                since: known.map_or(since, |known| known.since),
                trials: hold.trials,
                until: now + left,
            });
        }
        known.is_none()
    }

    /// Holds back parts that explain crashes best, until no part without a hold is near too many unexplained crashes.
    fn hold_back(&mut self, now: Duration) -> Vec<PartKey> {
        let mut held = Vec::new();
        self.release_cleared();
        loop {
            let suspect = self
                .parts
                .iter()
                .enumerate()
                .filter(|(_, part)| part.hold.is_none())
                .map(|(at, part)| (at, part.answered, self.unexplained(part)))
                .filter(|(.., crashes)| *crashes >= CRASHES)
                .min_by_key(|(_, answered, crashes)| (*answered, usize::MAX - crashes));
            let Some((at, ..)) = suspect else {
                break;
            };
            self.parts[at].hold = Some(Held {
                since: now,
                trials: 0,
                until: now + hold_time(0),
            });
            held.push(self.parts[at].key);
            self.release_explained(at);
        }
        held
    }

    /// Number of crashes with a part that count and that no held part was near.
    fn unexplained(&self, part: &Part) -> usize {
        let mut last: Option<Duration> = None;
        let mut count = 0;
        for seen in &part.crashes {
            let is_spaced = last.is_none_or(|last| seen.at >= last + CRASH_INTERVAL);
            if is_spaced && !self.is_explained(seen, part.key) {
                last = Some(seen.at);
                count += 1;
            }
        }
        count
    }

    /// Whether a held part other than `key` was near this crash.
    fn is_explained(&self, seen: &Seen, key: PartKey) -> bool {
        let held = self.parts.iter();
        let mut held = held.filter(|part| part.hold.is_some() && part.key != key);
        held.any(|part| part.saw(seen))
    }

    /// Releases parts without a trial for which another part is a better explanation: it was near all the same crashes,
    /// and its last answer is older. The answers of other instances may become known after the hold.
    fn release_cleared(&mut self) {
        let is_worse = |held: &Part, other: &Part| {
            !held.crashes.is_empty()
                && other.hold.is_none()
                && other.answered < held.answered
                && held.crashes.iter().all(|seen| other.saw(seen))
        };
        let parts = self.parts.clone();
        for part in &mut self.parts {
            let is_untried = part.hold.is_some_and(|hold| hold.trials == 0);
            if is_untried && parts.iter().any(|other| is_worse(part, other)) {
                part.hold = None;
            }
        }
    }

    /// Releases parts whose crashes the part at `by` explains, all of them and more.
    fn release_explained(&mut self, by: usize) {
        let by = self.parts[by].clone();
        for part in &mut self.parts {
            let is_explained = part.crashes.iter().all(|seen| by.saw(seen));
            let is_smaller = part.crashes.len() < by.crashes.len();
            if part.key != by.key && is_explained && is_smaller && !part.crashes.is_empty() {
                part.hold = None;
            }
        }
    }
}

impl Part {
    /// Notes an answer: crashes and holds from before it do not count against the part.
    fn clear(&mut self, at: Duration) {
        self.answered = self.answered.max(Some(at));
        let before = (self.crashes.len(), self.hold.is_some());
        self.crashes.retain(|seen| at < seen.at);
        self.hold = self.hold.filter(|hold| at < hold.since);
        if before != (self.crashes.len(), self.hold.is_some()) {
            self.cleared = Some(at);
        }
    }

    fn saw(&self, crash: &Seen) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|seen| seen.is_same(crash.target, crash.at))
    }
}

impl Seen {
    fn is_same(&self, target: TargetKey, at: Duration) -> bool {
        self.target == target && self.at.abs_diff(at) < SAME_CRASH
    }
}

/// Time from a hold or a trial to the next trial.
fn hold_time(trials: u32) -> Duration {
    let factor = HOLD_FACTOR.saturating_pow(trials);
    FIRST_HOLD.saturating_mul(factor).min(MAX_HOLD)
}
