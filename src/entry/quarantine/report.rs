use serde::{Deserialize, Serialize};

use crate::entry::{FragmentKey, TargetKey};

/// A target that ended when it should have begun to write an answer on a fragment.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Time since the end, in milliseconds.
    pub age_ms: u32,
    /// The fragment.
    pub fragment: FragmentKey,
    /// The target.
    pub target: TargetKey,
}

/// A fragment with which no request is sent but for trials.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ban {
    /// Trials whose target ended while no other did. From two on, it is proven that the fragment crashes targets.
    pub failures: u32,
    /// The fragment.
    pub fragment: FragmentKey,
    /// Time until the next trial, in milliseconds.
    pub left_ms: u32,
    /// Trials so far.
    pub trials: u32,
}

/// What an instance tells others about fragments.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Time in milliseconds since the sender's last answer on fragments that are known to be near crashes.
    pub answers: Vec<(FragmentKey, u32)>,
    /// Fragments that the sender suspects or bans.
    pub bans: Vec<Ban>,
    /// Crashes that the sender saw.
    pub crashes: Vec<Crash>,
    /// Targets that the sender saw end, with the time since then in milliseconds.
    pub ends: Vec<(TargetKey, u32)>,
}

impl Report {
    /// Whether it carries nothing that the earlier report `before` lacks, apart from ages.
    pub fn repeats(&self, before: &Report) -> bool {
        let crashes = |report: &Report| -> Vec<(FragmentKey, TargetKey)> {
            let crashes = report.crashes.iter();
            crashes
                .map(|crash| (crash.fragment, crash.target))
                .collect()
        };
        let bans = |report: &Report| -> Vec<(FragmentKey, u32, u32)> {
            let bans = report.bans.iter();
            bans.map(|ban| (ban.fragment, ban.trials, ban.failures))
                .collect()
        };
        crashes(self) == crashes(before)
            && bans(self) == bans(before)
            && self.answers.len() == before.answers.len()
            && self.ends.len() == before.ends.len()
    }
}
