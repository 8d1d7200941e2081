use std::time::Duration;

use crate::id::{TargetId, Tokens};
use crate::target::{Class, Load};

/// Age from which a load report is ignored.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// Last reported loads of targets that other instances own.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    /// Sorted by target.
    reports: Vec<Report>,
}

#[derive(Debug)]
struct Report {
    load: Load,
    target: TargetId,
    time: Duration,
}

impl Loads {
    pub(crate) fn set(&mut self, target: &TargetId, load: Load, now: Duration) {
        let report = Report {
            load,
            target: target.clone(),
            time: now,
        };
        match self.find(target) {
            Ok(index) => self.reports[index] = report,
            Err(index) => self.reports.insert(index, report),
        }
    }

    /// The last reported load, with its backlog reduced by the age of the report; `None` if there is no recent report.
    pub(crate) fn get(&self, target: &TargetId, now: Duration) -> Option<Load> {
        let report = &self.reports[self.find(target).ok()?];
        let age = now.saturating_sub(report.time);
        if age > REPORT_LIFETIME {
            return None;
        }
        let mut load = report.load.clone();
        load.backlog = load.backlog.saturating_sub(age);
        Some(load)
    }

    /// Adds a request that this instance sends to the target to its load until the next report. Otherwise all requests
    /// between two reports would go to the same target.
    pub(crate) fn add_request(&mut self, target: &TargetId, prompt: Tokens, prefill: Duration) {
        let Ok(index) = self.find(target) else {
            return;
        };
        let load = &mut self.reports[index].load;
        load.queued = load.queued.saturating_add(1);
        load.holdable = load.holdable.saturating_sub(prompt);
        match Class::of(prompt) {
            Class::Long => load.long = load.long.saturating_add(1),
            Class::Medium | Class::Short => load.backlog = load.backlog.saturating_add(prefill),
        }
    }

    fn find(&self, target: &TargetId) -> Result<usize, usize> {
        self.reports
            .binary_search_by(|report| report.target.cmp(target))
    }
}
