//! Fragments of prompts at which targets crash.

mod fragment;
mod report;
mod term;

use std::time::Duration;

use super::{FragmentKey, TargetKey};
use fragment::{Fragment, Observation};
pub use report::{Ban, Crash, Report};
use term::{Term, FIRST_INTERVAL};

/// Number of crashes with a fragment after which it is banned.
const CRASHES: usize = 3;

/// Minimum time between two crashes that count: a fault that ends many targets at once says nothing about a fragment.
const CRASH_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a crash counts.
const CRASH_LIFETIME: Duration = Duration::from_secs(60);

/// Time for which an instance reports a crash that it saw; several heartbeats may be lost meanwhile.
const REPORT_TIME: Duration = Duration::from_secs(10);

/// Maximum number of fragments with crashes or restrictions.
const MAX_FRAGMENTS: usize = 256;

/// Maximum number of fragments whose last answer is remembered.
const MAX_ANSWERS: usize = 4_096;

/// Maximum number of crashes, of answers, of bans and of ends in a report.
const MAX_REPORTED: usize = 64;

/// Maximum number of ends of targets that are remembered, the latest ones.
const MAX_ENDS: usize = 256;

/// Finds fragments of prompts at which targets crash, and bans them.
///
/// At a crash, all fragments of the requests that the target had not begun to answer are suspects. A fragment that
/// crashes targets is a suspect at every crash and never answered; a popular fragment is a suspect often too, but answered
/// in between. So a fragment is suspected after several crashes without an answer since; of several such fragments, the
/// one whose last answer is the oldest. A crash that a suspected fragment explains counts for no other fragment.
///
/// Targets also crash for other reasons, several in a row. So a suspected fragment is tried: one request with it is sent
/// at a time. It is banned after two trials whose target ended while no other target did.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// This instance's last answers, sorted by fragment.
    answers: Vec<(FragmentKey, Duration)>,
    /// Targets that ended, whatever was sent to them, in order of time.
    ends: Vec<Observation>,
    /// Sorted by key.
    fragments: Vec<Fragment>,
}

impl Quarantine {
    /// Records that a target ended which had not begun to answer a request with these fragments.
    pub fn record_crash(&mut self, fragments: &[FragmentKey], target: TargetKey, now: Duration) {
        self.add_end(target, now, true);
        for key in fragments {
            self.add_crash(*key, target, now, true);
        }
        self.suspect(now);
        for key in fragments {
            self.judge_trial(*key, now);
        }
    }

    /// Records that a target ended, whatever was sent to it.
    pub fn record_end(&mut self, target: TargetKey, now: Duration) {
        self.add_end(target, now, true);
    }

    /// Records that a target wrote an answer on these fragments.
    pub fn record_answer(&mut self, fragments: &[FragmentKey], now: Duration) {
        for key in fragments {
            match self.answers.binary_search_by_key(key, |(key, _)| *key) {
                Ok(at) => self.answers[at].1 = now,
                Err(at) => self.answers.insert(at, (*key, now)),
            }
            if let Ok(at) = self.find(*key) {
                self.fragments[at].clear(now);
            }
        }
        if self.answers.len() > MAX_ANSWERS {
            let oldest = self.answers.iter().map(|(_, at)| *at).min();
            self.answers.retain(|(_, at)| Some(*at) > oldest);
        }
    }

    /// Applies another instance's report.
    pub fn receive(&mut self, report: &Report, now: Duration) {
        let time = |age_ms: u32| now.saturating_sub(Duration::from_millis(u64::from(age_ms)));
        let mut is_news = false;
        for (target, age_ms) in &report.ends {
            self.add_end(*target, time(*age_ms), false);
        }
        for crash in &report.crashes {
            is_news |= self.add_crash(crash.fragment, crash.target, time(crash.age_ms), false);
        }
        for (key, age_ms) in &report.answers {
            if let Ok(at) = self.find(*key) {
                is_news = true;
                self.fragments[at].clear(time(*age_ms));
            }
        }
        for ban in &report.bans {
            self.adopt(ban, now);
        }
        if is_news {
            self.suspect(now);
        }
    }

    /// What to tell other instances.
    pub fn report(&self, now: Duration) -> Report {
        let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u32;
        let mut report = Report::default();
        for fragment in &self.fragments {
            let recent = |seen: &&Observation| seen.own && now < seen.at + REPORT_TIME;
            report
                .crashes
                .extend(fragment.crashes.iter().filter(recent).map(|seen| Crash {
                    age_ms: age_ms(seen.at),
                    fragment: fragment.key,
                    target: seen.target,
                }));
            if let Ok(at) = self
                .answers
                .binary_search_by_key(&fragment.key, |(key, _)| *key)
            {
                report
                    .answers
                    .push((fragment.key, age_ms(self.answers[at].1)));
            }
            let ban = fragment
                .restriction
                .map(|term| term.report(fragment.key, now));
            report.bans.extend(ban);
        }
        let ends = self.ends.iter().rev();
        let recent = ends.filter(|seen| seen.own && now < seen.at + REPORT_TIME);
        report
            .ends
            .extend(recent.map(|seen| (seen.target, age_ms(seen.at))));
        report.ends.truncate(MAX_REPORTED);
        report.crashes.sort_by_key(|crash| crash.age_ms);
        report.answers.truncate(MAX_REPORTED);
        report.crashes.truncate(MAX_REPORTED);
        report.bans.truncate(MAX_REPORTED);
        report
    }

    /// The first of these fragments that is suspected or banned, even if a trial is due.
    pub fn restricted(&self, fragments: &[FragmentKey]) -> Option<FragmentKey> {
        let is_restricted = |key: &FragmentKey| self.term(*key).is_some();
        fragments.iter().copied().find(is_restricted)
    }

    /// The first of these fragments that is banned: trials have proven that it crashes targets.
    pub fn banned(&self, fragments: &[FragmentKey]) -> Option<FragmentKey> {
        let is_banned = |key: &FragmentKey| self.term(*key).is_some_and(Term::is_proven);
        fragments.iter().copied().find(is_banned)
    }

    /// Time until a request with these fragments may be sent as a trial; zero if it may be sent now.
    pub fn time_to_trial(&self, fragments: &[FragmentKey], now: Duration) -> Duration {
        let terms = || fragments.iter().filter_map(|key| self.term(*key));
        let until = terms().map(|term| term.until).max().unwrap_or_default();
        match terms().count() {
            // The outcome of a trial must tell which fragment crashed the target.
            2.. => until.saturating_sub(now).max(FIRST_INTERVAL),
            0 | 1 => until.saturating_sub(now),
        }
    }

    /// Whether a request with these fragments may be sent as a trial.
    pub fn is_trial_due(&self, fragments: &[FragmentKey], now: Duration) -> bool {
        self.restricted(fragments).is_some() && self.time_to_trial(fragments, now).is_zero()
    }

    /// Begins a trial: no other one is due until its outcome is known or the next one is due.
    pub fn begin_trial(&mut self, fragments: &[FragmentKey], now: Duration) {
        for key in fragments {
            if let Ok(at) = self.find(*key) {
                if let Some(term) = &mut self.fragments[at].restriction {
                    term.begin_trial(now);
                }
            }
        }
    }

    /// Takes back a trial that this instance began and that no target ran.
    pub fn cancel_trial(&mut self, fragments: &[FragmentKey], now: Duration) {
        for key in fragments {
            if let Ok(at) = self.find(*key) {
                if let Some(term) = &mut self.fragments[at].restriction {
                    term.cancel_trial(now);
                }
            }
        }
    }

    /// Targets that ended near a fragment, as far as this instance knows.
    pub fn crash_targets(&self, key: FragmentKey) -> Vec<TargetKey> {
        let found = self.find(key).ok().map(|at| &self.fragments[at]);
        let crashes = found.map_or(&[][..], |fragment| &fragment.crashes[..]);
        crashes.iter().map(|seen| seen.target).collect()
    }

    /// All fragments that are suspected or banned, and whether they are banned, sorted.
    pub fn all_restricted(&self) -> Vec<(FragmentKey, bool)> {
        let fragments = self.fragments.iter();
        let restricted = fragments.filter_map(|fragment| {
            let term = fragment.restriction.as_ref()?;
            Some((fragment.key, term.is_proven()))
        });
        restricted.collect()
    }

    /// All fragments that are banned, sorted.
    pub fn all_banned(&self) -> Vec<FragmentKey> {
        let restricted = self.all_restricted().into_iter();
        let banned = restricted.filter(|(_, is_banned)| *is_banned);
        banned.map(|(key, _)| key).collect()
    }

    /// Suspects or bans a fragment as before a restart.
    pub fn restore(&mut self, key: FragmentKey, is_banned: bool, now: Duration) {
        let term = match is_banned {
            true => Term::proven(now),
            false => Term::new(now),
        };
        self.adopt(&term.report(key, now), now);
    }

    /// Removes crashes that are too old to count.
    pub fn expire(&mut self, now: Duration) {
        self.ends.retain(|seen| now < seen.at + CRASH_LIFETIME);
        for fragment in &mut self.fragments {
            fragment
                .crashes
                .retain(|seen| now < seen.at + CRASH_LIFETIME);
        }
        let is_reported = |fragment: &Fragment| {
            fragment
                .cleared
                .is_some_and(|cleared| now < cleared + REPORT_TIME)
        };
        self.fragments.retain(|fragment| {
            fragment.restriction.is_some() || !fragment.crashes.is_empty() || is_reported(fragment)
        });
    }

    /// The restriction of a fragment, if any.
    fn term(&self, key: FragmentKey) -> Option<&Term> {
        let at = self.find(key).ok()?;
        self.fragments[at].restriction.as_ref()
    }

    fn find(&self, key: FragmentKey) -> Result<usize, usize> {
        self.fragments
            .binary_search_by_key(&key, |fragment| fragment.key)
    }

    /// The entry of a fragment; the fragment without a restriction whose last crash is the oldest makes room for it.
    fn fragment(&mut self, key: FragmentKey) -> &mut Fragment {
        if self.find(key).is_err() && self.fragments.len() >= MAX_FRAGMENTS {
            let last = |fragment: &Fragment| fragment.crashes.last().map(|seen| seen.at);
            let free = self.fragments.iter().enumerate();
            let free = free.filter(|(_, fragment)| fragment.restriction.is_none());
            if let Some((at, _)) = free.min_by_key(|(_, fragment)| last(fragment)) {
                self.fragments.remove(at);
            }
        }
        let own = self.answers.binary_search_by_key(&key, |(key, _)| *key);
        let answered = own.ok().map(|at| self.answers[at].1);
        let at = self.find(key).unwrap_or_else(|at| {
            let fragment = Fragment {
                answered,
                restriction: None,
                cleared: None,
                crashes: Vec::new(),
                key,
            };
            self.fragments.insert(at, fragment);
            at
        });
        &mut self.fragments[at]
    }

    /// Adds a crash; false if it is known already, or if the fragment was answered since.
    fn add_crash(&mut self, key: FragmentKey, target: TargetKey, at: Duration, own: bool) -> bool {
        self.fragment(key).add(Observation { at, own, target })
    }

    fn add_end(&mut self, target: TargetKey, at: Duration, own: bool) {
        let end = Observation { at, own, target };
        let mut ends = self.ends.iter_mut();
        if let Some(same) = ends.find(|seen| seen.is_same(&end)) {
            same.own |= own;
            return;
        }
        let position = self.ends.partition_point(|seen| seen.at <= at);
        self.ends.insert(position, end);
        let excess = self.ends.len().saturating_sub(MAX_ENDS);
        self.ends.drain(..excess);
    }

    /// Judges this instance's trial of a fragment after its target ended. Other targets that ended meanwhile are a sign
    /// of another cause.
    fn judge_trial(&mut self, key: FragmentKey, now: Duration) {
        let Ok(at) = self.find(key) else {
            return;
        };
        let fragment = &mut self.fragments[at];
        let Some(since) = fragment.restriction.as_mut().and_then(Term::end_trial) else {
            return;
        };
        let fragment = &self.fragments[at];
        let meanwhile = self
            .ends
            .iter()
            .filter(|seen| seen.at + CRASH_INTERVAL >= since);
        let mut others = meanwhile.filter(|seen| !fragment.saw(seen));
        if others.any(|seen| !self.is_explained(seen, key)) {
            return;
        }
        if let Some(term) = &mut self.fragments[at].restriction {
            term.count_failure(now);
        }
    }

    /// Adopts a restriction of another instance, unless the fragment was answered since.
    fn adopt(&mut self, ban: &Ban, now: Duration) {
        let received = Term::received(ban, now);
        let fragment = self.fragment(ban.fragment);
        if fragment
            .answered
            .is_some_and(|answered| received.since <= answered)
        {
            return;
        }
        match &mut fragment.restriction {
            Some(known) => known.adopt(received),
            None => fragment.restriction = Some(received),
        }
    }

    /// Suspects the fragments that explain crashes best, until no other fragment is near too many unexplained crashes.
    fn suspect(&mut self, now: Duration) {
        self.release_cleared();
        loop {
            let suspect = self
                .fragments
                .iter()
                .enumerate()
                .filter(|(_, fragment)| fragment.restriction.is_none())
                .map(|(at, fragment)| (at, fragment.answered, self.unexplained(fragment)))
                .filter(|(.., crashes)| *crashes >= CRASHES)
                .min_by_key(|(_, answered, crashes)| (*answered, usize::MAX - crashes));
            let Some((at, ..)) = suspect else {
                return;
            };
            self.fragments[at].restriction = Some(Term::new(now));
            self.release_explained(at);
        }
    }

    /// Number of crashes with a fragment that count and that no restricted fragment was near.
    fn unexplained(&self, fragment: &Fragment) -> usize {
        let mut last: Option<Duration> = None;
        let mut count = 0;
        for seen in &fragment.crashes {
            let is_spaced = last.is_none_or(|last| seen.at >= last + CRASH_INTERVAL);
            if is_spaced && !self.is_explained(seen, fragment.key) {
                last = Some(seen.at);
                count += 1;
            }
        }
        count
    }

    /// Whether a restricted fragment other than `key` was near this crash.
    fn is_explained(&self, seen: &Observation, key: FragmentKey) -> bool {
        let restricted = self.fragments.iter();
        let mut restricted =
            restricted.filter(|fragment| fragment.restriction.is_some() && fragment.key != key);
        restricted.any(|fragment| fragment.saw(seen))
    }

    /// Releases suspected fragments for which another fragment is a better explanation: it was near all the same crashes,
    /// and its last answer is older. The answers of other instances may become known after the suspicion.
    fn release_cleared(&mut self) {
        let is_worse = |suspected: &Fragment, other: &Fragment| {
            !suspected.crashes.is_empty()
                && other.restriction.is_none()
                && other.answered < suspected.answered
                && suspected.crashes.iter().all(|seen| other.saw(seen))
        };
        let fragments = self.fragments.clone();
        for fragment in &mut self.fragments {
            let is_suspected = fragment.restriction.is_some_and(|term| !term.is_proven());
            if is_suspected && fragments.iter().any(|other| is_worse(fragment, other)) {
                fragment.restriction = None;
            }
        }
    }

    /// Releases fragments whose crashes the fragment at `by` explains, all of them and more.
    fn release_explained(&mut self, by: usize) {
        let by = self.fragments[by].clone();
        for fragment in &mut self.fragments {
            let is_explained = fragment.crashes.iter().all(|seen| by.saw(seen));
            let is_smaller = fragment.crashes.len() < by.crashes.len();
            if fragment.key != by.key && is_explained && is_smaller && !fragment.crashes.is_empty()
            {
                fragment.restriction = None;
            }
        }
    }
}
