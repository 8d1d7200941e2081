use super::MAX_RATIO;

/// Maximum number of unused hedges of a service that an instance keeps. With less than one, an instance with few requests
/// could never hedge; each more may be sent in addition in a single window.
pub const MAX_TOKENS: f64 = 2.0;

/// Hedges of a service that an instance may send when it starts.
///
/// Among many instances with few requests each, most slow requests are at an instance that has not earned a hedge yet. With
/// a random part of a hedge at the start, 36 instances with 2.7 requests per second withheld two of three hedges in ten
/// minutes, and all together stayed at less than half of their share.
pub const START_TOKENS: f64 = 1.0;

/// Hedges that this instance may send, by service.
///
/// Each request of the service earns a share of a hedge, and each hedge costs a whole one. All instances together send at
/// most that share of their requests, and what they start with.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    /// Sorted by service.
    services: Vec<(String, f64)>,
    start: f64,
}

impl Budget {
    /// A budget that starts with this part of a hedge for each service, from 0 to 1.
    pub fn starting_at(start: f64) -> Budget {
        Budget {
            services: Vec::new(),
            start: start.clamp(0.0, 1.0),
        }
    }

    /// Counts a request of a service, which earns `ratio` hedges.
    pub fn count_request(&mut self, service: &str, ratio: f64) {
        // False for NaN too.
        if ratio > 0.0 {
            let tokens = self.tokens(service);
            *tokens = (*tokens + ratio.min(MAX_RATIO)).min(MAX_TOKENS);
        }
    }

    /// Whether a hedge may be sent.
    pub fn has_room(&self, service: &str) -> bool {
        let found = self.find(service);
        found.is_ok_and(|at| self.services[at].1 >= 1.0)
    }

    /// Spends a hedge; false if none may be sent.
    pub fn spend(&mut self, service: &str) -> bool {
        let has_room = self.has_room(service);
        if has_room {
            *self.tokens(service) -= 1.0;
        }
        has_room
    }

    fn find(&self, service: &str) -> Result<usize, usize> {
        self.services
            .binary_search_by(|(name, _)| name.as_str().cmp(service))
    }

    fn tokens(&mut self, service: &str) -> &mut f64 {
        let at = self.find(service).unwrap_or_else(|at| {
            self.services.insert(at, (service.to_owned(), self.start));
            at
        });
        &mut self.services[at].1
    }
}
