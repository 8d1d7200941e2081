use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use smol::Timer;

use super::Store;
use crate::claim::{Issuer, Outcome, Step};
use crate::daemon::state::lock;

/// Claims of the keys that this process issued, kept in its memory.
pub(super) struct Memory {
    issuer: Arc<Mutex<Issuer>>,
}

impl Memory {
    pub(super) fn new(issuer: Arc<Mutex<Issuer>>) -> Self {
        Self { issuer }
    }
}

impl Store for Memory {
    fn begin(&self, key: &str, nonce: u64, now: u64) -> Step {
        lock(&self.issuer).begin(key, nonce, now)
    }

    fn changed(&self, limit: Duration) -> Pin<Box<dyn Future<Output = ()> + Send + '_>> {
        Box::pin(async move {
            Timer::after(limit).await;
        })
    }

    fn dispatch(&self, key: &str, nonce: u64, now: u64) -> Step {
        lock(&self.issuer).dispatch(key, nonce, now)
    }

    fn finish(&self, key: &str, nonce: u64, outcome: Option<Outcome>, now: u64) {
        lock(&self.issuer).finish(key, nonce, outcome, now);
    }

    fn is_contested(&self, key: &str, nonce: u64) -> bool {
        lock(&self.issuer).is_contested(key, nonce)
    }

    fn poll(&self, key: &str, nonce: u64, now: u64) -> Step {
        lock(&self.issuer).poll(key, nonce, now)
    }

    fn unsent(&self, key: &str, nonce: u64, now: u64) {
        lock(&self.issuer).mark_unsent(key, nonce, now);
    }
}
