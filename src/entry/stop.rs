use std::time::Duration;

use smol::Timer;

use super::Instance;
use crate::event;

/// Time after the order to stop for which idle connections stay open and callers are served: a balancer asks for
/// readiness once a second and takes an instance out after two misses. Callers that come later are refused: the rest of
/// the grace period is for the answers that are under way.
const LAME_DUCK: Duration = Duration::from_millis(2_600);

/// Time before the end of the grace period at which the process ends whatever still runs.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// Time between two looks for connections that are left.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

impl Instance {
    /// Stops serving within `grace`: not ready at once, then callers are refused and idle connections closed by
    /// `close`, then the answers that are under way end. `connections` counts callers' connections.
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
            Timer::after(POLL_INTERVAL).await;
        }
        event!(self.source, "stopped", connections = connections());
    }
}
