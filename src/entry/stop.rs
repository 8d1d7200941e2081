use std::time::Duration;

use smol::Timer;

use super::Instance;
use crate::event;

/// Time after the stop signal during which callers are still served and idle connections stay open: a load balancer
/// asks for readiness once a second and removes an instance after two failures. Callers that arrive later are refused,
/// so that the rest of the grace period is left for requests in progress.
const LAME_DUCK: Duration = Duration::from_millis(2_600);

/// Time before the end of the grace period at which the process exits even if requests are running.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// Time before that at which requests without an answer get their final one.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// Time between two checks for open connections.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

impl Instance {
    /// Stops serving within `grace`. The instance is not ready from the start; then callers are refused, `close` closes
    /// idle connections, and requests in progress finish; those that take too long get an error. `connections` counts the
    /// callers' connections.
    pub async fn stop(
        &self,
        grace: Duration,
        close: impl FnOnce(),
        connections: impl Fn() -> usize,
    ) {
        let started = self.clock.now();
        self.stopping.set(true);
        event!(
            self.source,
            "stopping",
            requests = self.view.borrow().request_count()
        );
        Timer::after(LAME_DUCK).await;
        self.refusing.set(true);
        event!(
            self.source,
            "refusing",
            requests = self.view.borrow().request_count()
        );
        close();
        let end = started + grace.saturating_sub(EXIT_MARGIN);
        while connections() > 0 && self.clock.now() < end {
            if self.clock.now() + ANSWER_MARGIN >= end {
                self.end_requests();
            }
            Timer::after(POLL_INTERVAL).await;
        }
        event!(self.source, "stopped", connections = connections());
    }
}
