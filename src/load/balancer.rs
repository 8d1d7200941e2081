use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use jujubehook_http::http_types::Method;
use jujubehook_http::{with_timeout, Client, Reuse};
use smol::Timer;

/// Interval at which the readiness of the instances is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of one readiness check.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest accepted response in bytes.
const RESPONSE_LIMIT: usize = 1 << 16;

/// Stand-in for the platform's load balancer: selects ready instances, or any if none is ready.
pub(super) struct Balancer {
    entries: Vec<SocketAddr>,
    ready: Mutex<Vec<SocketAddr>>,
}

impl Balancer {
    pub(super) fn start(entries: Vec<SocketAddr>) -> Arc<Self> {
        let balancer = Arc::new(Self {
            ready: Mutex::new(entries.clone()),
            entries,
        });
        smol::spawn(poll_readiness(Arc::downgrade(&balancer))).detach();
        balancer
    }

    /// The instance that `number` selects among the ready ones.
    pub(super) fn entry(&self, number: usize) -> SocketAddr {
        let ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        let candidates = if ready.is_empty() {
            &self.entries
        } else {
            &*ready
        };
        candidates[number % candidates.len()]
    }
}

/// Polls the readiness of all instances until the balancer is dropped.
async fn poll_readiness(balancer: Weak<Balancer>) {
    let client = Client::default();
    loop {
        let Some(balancer) = balancer.upgrade() else {
            return;
        };
        let mut ready = Vec::new();
        for entry in &balancer.entries {
            if is_ready(&client, *entry).await {
                ready.push(*entry);
            }
        }
        *balancer
            .ready
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = ready;
        drop(balancer);
        Timer::after(POLL_INTERVAL).await;
    }
}

async fn is_ready(client: &Client, entry: SocketAddr) -> bool {
    let check = async {
        let request = Client::request(Method::Get, entry, "/readyz")?;
        client
            .fetch(entry, request, Reuse::Never, RESPONSE_LIMIT)
            .await
    };
    with_timeout(CHECK_TIMEOUT, check)
        .await
        .is_ok_and(|(response, _)| response.status().is_success())
}
