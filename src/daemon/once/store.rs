use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use crate::claim::{Outcome, Step};

/// Decides the claims of idempotency keys. Times are Unix milliseconds; the nonce tells calls with the same key apart.
pub(super) trait Store: Send + Sync {
    /// Registers a call with a key.
    fn begin(&self, key: &str, nonce: u64, now: u64) -> Step;

    /// Waits until a claim may have changed, at most for `limit`.
    fn changed(&self, limit: Duration) -> Pin<Box<dyn Future<Output = ()> + Send + '_>>;

    /// Checks the claim again immediately before the call is sent.
    fn dispatch(&self, key: &str, nonce: u64, now: u64) -> Step;

    /// Records the outcome of a call; `None` if it is unknown.
    fn finish(&self, key: &str, nonce: u64, outcome: Option<Outcome>, now: u64);

    /// Whether another call with the key may be running or may have run.
    fn is_contested(&self, key: &str, nonce: u64) -> bool;

    /// The next step of the call.
    fn poll(&self, key: &str, nonce: u64, now: u64) -> Step;

    /// Records that no byte of the call was sent to a service.
    fn unsent(&self, key: &str, nonce: u64, now: u64);
}
