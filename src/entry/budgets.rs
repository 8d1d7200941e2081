use std::collections::VecDeque;
use std::time::Duration;

/// Share of the budget that is spent. The rest covers requests at the boundary of two windows.
const USED_SHARE: f64 = 0.8;

/// Retry budgets of all services, over a sliding window.
///
/// All instances together may retry `ratio` times the requests of a window, plus `slack`. Each instance counts only its
/// own requests and takes an equal share of the slack, so the total holds without coordination.
#[derive(Clone, Debug)]
pub struct Budgets {
    ratio: f64,
    services: Vec<(String, Counts)>,
    slack: f64,
    window: Duration,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl Budgets {
    /// Budgets with these limits over all instances together.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Budgets {
        Budgets {
            ratio,
            services: Vec::new(),
            slack,
            window,
        }
    }

    /// Counts a caller's request for a service.
    pub fn count_request(&mut self, service: &str, now: Duration) {
        let window = self.window;
        let counts = self.counts(service);
        counts.trim(now, window);
        counts.requests.push_back(now);
    }

    /// Whether the budget allows another retry. `instances` share the slack.
    pub fn has_retry(&mut self, service: &str, instances: usize, now: Duration) -> bool {
        let allowed = self.allowed(service, instances, now);
        self.counts(service).retries.len() as f64 + 1.0 <= allowed
    }

    /// Retries that this instance may send in the window that ends now.
    fn allowed(&mut self, service: &str, instances: usize, now: Duration) -> f64 {
        let (window, ratio) = (self.window, self.ratio);
        let slack = self.slack * USED_SHARE / instances.max(1) as f64;
        let counts = self.counts(service);
        counts.trim(now, window);
        ratio * USED_SHARE * counts.requests.len() as f64 + slack
    }

    /// Whether less than half of the budget is used and it allows another retry. `instances` share the slack.
    pub fn is_half_free(&mut self, service: &str, instances: usize, now: Duration) -> bool {
        let allowed = self.allowed(service, instances, now);
        let used = self.counts(service).retries.len() as f64;
        used * 2.0 < allowed && used + 1.0 <= allowed
    }

    /// Spends one retry; false if the budget is used up. `instances` share the slack.
    pub fn spend(&mut self, service: &str, instances: usize, now: Duration) -> bool {
        let has_retry = self.has_retry(service, instances, now);
        if has_retry {
            self.counts(service).retries.push_back(now);
        }
        has_retry
    }

    fn counts(&mut self, service: &str) -> &mut Counts {
        let found = self
            .services
            .binary_search_by(|(name, _)| name.as_str().cmp(service));
        let at = found.unwrap_or_else(|at| {
            self.services
                .insert(at, (service.to_owned(), Counts::default()));
            at
        });
        &mut self.services[at].1
    }
}

impl Counts {
    fn trim(&mut self, now: Duration, window: Duration) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| *at + window <= now) {
                times.pop_front();
            }
        }
    }
}
