use std::time::Duration;

use hdrhistogram::Histogram;

use super::{RouteKey, Sample, MAX_TIME};

/// Minimum number of samples of a route for a quantile.
pub const MIN_SAMPLES: u64 = 20;

/// Time after which the two histograms of a route take turns. The window is one to two times as long.
const TURN: Duration = Duration::from_secs(15);

/// Precision of the histograms, 1 %.
const SIGNIFICANT_FIGURES: u8 = 2;

/// Measured times of the routes over a sliding window.
#[derive(Clone, Debug, Default)]
pub struct Times {
    /// Sorted by route.
    routes: Vec<(RouteKey, Recent)>,
}

#[derive(Clone, Debug)]
struct Recent {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    /// Start of the current histogram.
    since: Duration,
}

impl Recent {
    fn new(now: Duration) -> Option<Recent> {
        let max = u64::try_from(MAX_TIME.as_millis()).ok()?;
        let histogram = Histogram::new_with_bounds(1, max, SIGNIFICANT_FIGURES).ok()?;
        Some(Recent {
            current: histogram.clone(),
            previous: histogram,
            since: now,
        })
    }

    /// Forgets what has left the window. A time before the start of the current histogram changes nothing.
    fn advance(&mut self, now: Duration) {
        let age = now.saturating_sub(self.since);
        if age < TURN {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if age >= TURN * 2 {
            self.previous.reset();
        }
        self.since = now;
    }
}

impl Times {
    /// Adds a sample. Callers pass routes of the configuration only, which limits the memory.
    pub fn record(&mut self, sample: Sample, now: Duration) {
        let (route, ms) = sample;
        let at = match self.routes.binary_search_by_key(&route, |(key, _)| *key) {
            Ok(at) => at,
            Err(at) => {
                // The bounds are constants that the library accepts.
                let Some(recent) = Recent::new(now) else {
                    return;
                };
                self.routes.insert(at, (route, recent));
                at
            }
        };
        let recent = &mut self.routes[at].1;
        recent.advance(now);
        recent.current.saturating_record(u64::from(ms.max(1)));
    }

    /// Removes routes without a sample in the window.
    pub fn expire(&mut self, now: Duration) {
        self.routes
            .retain(|(_, recent)| now.saturating_sub(recent.since) < TURN * 2);
    }

    /// The time within which the share `quantile` of the requests of a route were answered; none with too few samples.
    pub fn quantile(&mut self, route: RouteKey, quantile: f64, now: Duration) -> Option<Duration> {
        let found = self.routes.binary_search_by_key(&route, |(key, _)| *key);
        let recent = &mut self.routes[found.ok()?].1;
        recent.advance(now);
        if recent.current.len().saturating_add(recent.previous.len()) < MIN_SAMPLES {
            return None;
        }
        let mut all = recent.current.clone();
        all.add(&recent.previous).ok()?;
        Some(Duration::from_millis(all.value_at_quantile(quantile)))
    }
}
