use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use jujubehook_http::http_types::Method;
use jujubehook_http::{with_timeout, Client, Reuse};
use smol::Timer;

/// Time between two looks at the readiness of the instances.
const INTERVAL: Duration = Duration::from_millis(500);

/// Longest time for an answer about readiness.
const LIMIT: Duration = Duration::from_secs(2);

/// Largest accepted answer in bytes.
const ANSWER_LIMIT: usize = 1 << 16;

/// Stands for the platform's load balancer: sends callers to ready instances.
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
        smol::spawn(watch(Arc::downgrade(&balancer))).detach();
        balancer
    }

    /// The instance that a number selects.
    pub(super) fn entry(&self, number: usize) -> SocketAddr {
        let ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        let pool = if ready.is_empty() {
            &self.entries
        } else {
            &*ready
        };
        pool[number % pool.len()]
    }
}

async fn watch(balancer: Weak<Balancer>) {
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
        Timer::after(INTERVAL).await;
    }
}

async fn is_ready(client: &Client, entry: SocketAddr) -> bool {
    let look = async {
        let request = Client::request(Method::Get, entry, "/readyz")?;
        client
            .fetch(entry, request, Reuse::Never, ANSWER_LIMIT)
            .await
    };
    with_timeout(LIMIT, look)
        .await
        .is_ok_and(|(response, _)| response.status().is_success())
}
