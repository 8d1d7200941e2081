use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use crate::claim::{Outcome, Step};

/// A place where claims of keys are decided.
pub(super) trait Book: Send + Sync {
    /// Starts a call under a key.
    fn begin(&self, key: &str, nonce: u64, now: u64) -> Step;

    /// Waits until something may have changed, at most `limit`.
    fn changed(&self, limit: Duration) -> Pin<Box<dyn Future<Output = ()> + Send + '_>>;

    /// Checks immediately before the call is sent.
    fn dispatch(&self, key: &str, nonce: u64, now: u64) -> Step;

    /// Records the outcome; `None` if it is not known.
    fn finish(&self, key: &str, nonce: u64, outcome: Option<Outcome>, now: u64);

    /// Whether another call with the key may be running or may have run.
    fn is_contested(&self, key: &str, nonce: u64) -> bool;

    /// What to do now.
    fn poll(&self, key: &str, nonce: u64, now: u64) -> Step;

    /// Records that no byte was written.
    fn unsent(&self, key: &str, nonce: u64, now: u64);
}
