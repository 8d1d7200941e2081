use std::time::Duration;

/// Part of its objective after which a request may be hedged at the earliest.
///
/// A quarter is the latest that still halves a response that is just late, if the second target takes up to another
/// quarter. Half of the objective leaves the second target no time for that, and a tenth spends hedges on responses at
/// which callers notice nothing.
pub const OBJECTIVE_DIVISOR: u32 = 4;

// A second response after more than half of the objective is late as well.
const _: () = assert!(OBJECTIVE_DIVISOR >= 2);

/// The quantile beyond which requests are hedged. Below 1 - `ratio` more requests are slow than may be hedged, and the
/// budget would go to the first of them instead of the slowest ones.
pub fn slow_quantile(configured: f64, ratio: f64) -> f64 {
    configured.max(1.0 - ratio)
}

/// Time at which a request that was sent at `sent` is hedged if it has no answer, where `slow` is the time of its route
/// at the quantile. A caller waits since `arrival`, so the minimum counts from then.
pub fn hedge_at(
    arrival: Duration,
    objective: Duration,
    sent: Duration,
    slow: Duration,
) -> Duration {
    let earliest = arrival.saturating_add(objective / OBJECTIVE_DIVISOR);
    sent.saturating_add(slow).max(earliest)
}
