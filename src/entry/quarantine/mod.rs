//! Fragments of prompts at which targets crash.

mod fragment;
mod report;
mod term;

use std::time::Duration;

use super::{FragmentKey, TargetKey};
use fragment::{Fragment, Observation};
pub use report::{Ban, Crash, Report};
use term::Term;

/// Number of crashes with a fragment after which it is banned.
const CRASHES: usize = 3;

/// Minimum time between two crashes that count: a fault that ends many targets at once says nothing about a fragment.
const CRASH_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a crash counts.
const CRASH_LIFETIME: Duration = Duration::from_secs(60);

/// Time for which an instance reports a crash that it saw; several heartbeats may be lost meanwhile.
const REPORT_TIME: Duration = Duration::from_secs(10);

/// Maximum number of fragments with crashes or bans.
const MAX_FRAGMENTS: usize = 256;

/// Maximum number of fragments whose last answer is remembered.
const MAX_ANSWERS: usize = 4_096;

/// Maximum number of crashes, of answers and of bans in a report.
const MAX_REPORTED: usize = 64;

/// Finds fragments of prompts at which targets crash, and bans them.
///
/// At a crash, all fragments of the requests that the target had not begun to answer are suspects. A fragment that
/// crashes targets is a suspect at every crash and never answered; a popular fragment is a suspect often too, but answered
/// in between. So a fragment is banned after several crashes without an answer since; of several such fragments, the one
/// whose last answer is the oldest. A crash that a banned fragment explains counts for no other fragment.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// This instance's last answers, sorted by fragment.
    answers: Vec<(FragmentKey, Duration)>,
    /// Sorted by key.
    fragments: Vec<Fragment>,
}

impl Quarantine {
    /// Records that a target ended which had not begun to answer a request with these fragments. Returns the fragments
    /// that are banned from now on.
    pub fn record_crash(
        &mut self,
        fragments: &[FragmentKey],
        target: TargetKey,
        now: Duration,
    ) -> Vec<FragmentKey> {
        for key in fragments {
            self.add_crash(*key, target, now, true);
        }
        self.ban_suspects(now)
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

    /// Applies another instance's report. Returns the fragments that are banned from now on.
    pub fn receive(&mut self, report: &Report, now: Duration) -> Vec<FragmentKey> {
        let time = |age_ms: u32| now.saturating_sub(Duration::from_millis(u64::from(age_ms)));
        let mut is_news = false;
        for crash in &report.crashes {
            is_news |= self.add_crash(crash.fragment, crash.target, time(crash.age_ms), false);
        }
        for (key, age_ms) in &report.answers {
            if let Ok(at) = self.find(*key) {
                is_news = true;
                self.fragments[at].clear(time(*age_ms));
            }
        }
        let mut banned: Vec<FragmentKey> = Vec::new();
        for ban in &report.bans {
            if self.adopt(ban, now) {
                banned.push(ban.fragment);
            }
        }
        if is_news {
            banned.extend(self.ban_suspects(now));
        }
        banned
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
            let ban = fragment.ban.map(|ban| ban.report(fragment.key, now));
            report.bans.extend(ban);
        }
        report.crashes.sort_by_key(|crash| crash.age_ms);
        report.answers.truncate(MAX_REPORTED);
        report.crashes.truncate(MAX_REPORTED);
        report.bans.truncate(MAX_REPORTED);
        report
    }

    /// The first of these fragments that is banned, even if a trial is due.
    pub fn banned(&self, fragments: &[FragmentKey]) -> Option<FragmentKey> {
        let is_banned = |key: &FragmentKey| {
            let found = self.find(*key);
            found.is_ok_and(|at| self.fragments[at].ban.is_some())
        };
        fragments.iter().copied().find(is_banned)
    }

    /// Whether a request with these fragments may be sent as a trial.
    pub fn is_trial_due(&self, fragments: &[FragmentKey], now: Duration) -> bool {
        let bans = || {
            let found = fragments.iter().filter_map(|key| self.find(*key).ok());
            found.filter_map(|at| self.fragments[at].ban)
        };
        bans().count() == 1 && bans().all(|ban| ban.until <= now)
    }

    /// Begins a trial: no other one is due until its outcome is known or the next one is due.
    pub fn begin_trial(&mut self, fragments: &[FragmentKey], now: Duration) {
        for key in fragments {
            if let Ok(at) = self.find(*key) {
                if let Some(ban) = &mut self.fragments[at].ban {
                    ban.begin_trial(now);
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

    /// All fragments that are banned, sorted.
    pub fn all_banned(&self) -> Vec<FragmentKey> {
        let banned = self
            .fragments
            .iter()
            .filter(|fragment| fragment.ban.is_some());
        banned.map(|fragment| fragment.key).collect()
    }

    /// Bans a fragment that was banned before a restart; false if it is banned already.
    pub fn restore(&mut self, key: FragmentKey, now: Duration) -> bool {
        let ban = Term::new(now).report(key, now);
        self.adopt(&ban, now)
    }

    /// Removes crashes that are too old to count.
    pub fn expire(&mut self, now: Duration) {
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
            fragment.ban.is_some() || !fragment.crashes.is_empty() || is_reported(fragment)
        });
    }

    fn find(&self, key: FragmentKey) -> Result<usize, usize> {
        self.fragments
            .binary_search_by_key(&key, |fragment| fragment.key)
    }

    /// The entry of a fragment; the fragment without a ban whose last crash is the oldest makes room for it.
    fn fragment(&mut self, key: FragmentKey) -> &mut Fragment {
        if self.find(key).is_err() && self.fragments.len() >= MAX_FRAGMENTS {
            let last = |fragment: &Fragment| fragment.crashes.last().map(|seen| seen.at);
            let free = self.fragments.iter().enumerate();
            let free = free.filter(|(_, fragment)| fragment.ban.is_none());
            if let Some((at, _)) = free.min_by_key(|(_, fragment)| last(fragment)) {
                self.fragments.remove(at);
            }
        }
        let own = self.answers.binary_search_by_key(&key, |(key, _)| *key);
        let answered = own.ok().map(|at| self.answers[at].1);
        let at = self.find(key).unwrap_or_else(|at| {
            let fragment = Fragment {
                answered,
                ban: None,
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

    /// Adopts a ban of another instance; false if it is known already, or if the fragment was answered since.
    fn adopt(&mut self, ban: &Ban, now: Duration) -> bool {
        let received = Term::received(ban, now);
        let fragment = self.fragment(ban.fragment);
        if fragment
            .answered
            .is_some_and(|answered| received.since <= answered)
        {
            return false;
        }
        let Some(known) = &mut fragment.ban else {
            fragment.ban = Some(received);
            return true;
        };
        if known.trials < received.trials {
            *known = Term {
                since: known.since,
                ..received
            };
        }
        false
    }

    /// Bans fragments that explain crashes best, until no fragment without a ban is near too many unexplained crashes.
    fn ban_suspects(&mut self, now: Duration) -> Vec<FragmentKey> {
        let mut banned = Vec::new();
        self.release_cleared();
        loop {
            let suspect = self
                .fragments
                .iter()
                .enumerate()
                .filter(|(_, fragment)| fragment.ban.is_none())
                .map(|(at, fragment)| (at, fragment.answered, self.unexplained(fragment)))
                .filter(|(.., crashes)| *crashes >= CRASHES)
                .min_by_key(|(_, answered, crashes)| (*answered, usize::MAX - crashes));
            let Some((at, ..)) = suspect else {
                break;
            };
            self.fragments[at].ban = Some(Term::new(now));
            banned.push(self.fragments[at].key);
            self.release_explained(at);
        }
        banned
    }

    /// Number of crashes with a fragment that count and that no banned fragment was near.
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

    /// Whether a banned fragment other than `key` was near this crash.
    fn is_explained(&self, seen: &Observation, key: FragmentKey) -> bool {
        let banned = self.fragments.iter();
        let mut banned = banned.filter(|fragment| fragment.ban.is_some() && fragment.key != key);
        banned.any(|fragment| fragment.saw(seen))
    }

    /// Releases fragments without a trial for which another fragment is a better explanation: it was near all the same
    /// crashes, and its last answer is older. The answers of other instances may become known after the ban.
    fn release_cleared(&mut self) {
        let is_worse = |banned: &Fragment, other: &Fragment| {
            !banned.crashes.is_empty()
                && other.ban.is_none()
                && other.answered < banned.answered
                && banned.crashes.iter().all(|seen| other.saw(seen))
        };
        let fragments = self.fragments.clone();
        for fragment in &mut self.fragments {
            let is_untried = fragment.ban.is_some_and(|ban| ban.trials == 0);
            if is_untried && fragments.iter().any(|other| is_worse(fragment, other)) {
                fragment.ban = None;
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
                fragment.ban = None;
            }
        }
    }
}
