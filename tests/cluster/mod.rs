//! A cluster of daemon processes, with stand-ins for the platform and the targets in the test process.

// Each test file uses a different part of this module.
#![allow(dead_code, unreachable_pub, unused_imports)]

mod link;
mod load;
mod process;
mod running;
mod sale;

use std::future::Future;
use std::sync::Once;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use jujubehook_standin::{engine, log, service};
use smol::Timer;

pub use load::Load;
pub use running::{unique_key, Cluster, Completion, PEER_KEY};
pub use sale::Sale;

pub const MODEL: &str = "resin";
pub const SERVICE: &str = "seats";

/// At-most-once call of the service.
pub const ONCE_CALL: &str = "sell";

/// Time within which the cluster must have reacted to a fault or a new record: the "few seconds" of the design.
pub const REACTION_LIMIT: Duration = Duration::from_secs(5);

/// Time after its deadline by which an answer must have arrived.
pub const DELIVERY_GRACE: Duration = Duration::from_secs(1);

/// Time between two checks of a condition.
const POLL: Duration = Duration::from_millis(20);

/// Threads of the test process for stand-ins, links and callers.
const THREADS: &str = "4";

/// Builder of a cluster.
#[derive(Clone)]
pub struct ClusterBuilder {
    domains: usize,
    engine: engine::Settings,
    engines: usize,
    instances: usize,
    log: log::Settings,
    queue: String,
    service: service::Settings,
}

impl ClusterBuilder {
    pub fn new() -> Self {
        Self {
            domains: 1,
            engine: engine::Settings {
                decode_rate: 200.0,
                model: MODEL.to_owned(),
                prefill_rate: 500_000.0,
                ..engine::Settings::default()
            },
            engines: 2,
            instances: 2,
            log: log::Settings::default(),
            queue: "decode_rate = 200\nprefill_rate = 500000".to_owned(),
            service: service::Settings::default(),
        }
    }

    pub fn domains(mut self, domains: usize) -> Self {
        self.domains = domains;
        self
    }

    /// Changes the settings of all engines.
    pub fn engine(mut self, change: impl FnOnce(&mut engine::Settings)) -> Self {
        change(&mut self.engine);
        self
    }

    /// Engines in each domain.
    pub fn engines(mut self, engines: usize) -> Self {
        self.engines = engines;
        self
    }

    /// Instances in each domain.
    pub fn instances(mut self, instances: usize) -> Self {
        self.instances = instances;
        self
    }

    pub fn log(mut self, settings: log::Settings) -> Self {
        self.log = settings;
        self
    }

    /// Adds lines to the `[queue]` table of the instances' settings.
    pub fn queue(mut self, lines: &str) -> Self {
        self.queue.push('\n');
        self.queue.push_str(lines);
        self
    }

    /// Changes the settings of all plain services.
    pub fn service(mut self, change: impl FnOnce(&mut service::Settings)) -> Self {
        change(&mut self.service);
        self
    }

    /// Starts everything and waits until all instances are ready and every target has one owner.
    pub async fn start(self) -> Cluster {
        Cluster::start(self).await
    }
}

/// Runs a test on an executor with enough threads for the stand-ins.
pub fn run(test: impl Future<Output = ()>) {
    static SET: Once = Once::new();
    SET.call_once(|| std::env::set_var("SMOL_THREADS", THREADS));
    smol::block_on(test);
}

/// Waits until `condition` holds and returns the time that it took; panics after `limit`.
pub async fn wait_until(
    what: &str,
    limit: Duration,
    mut condition: impl AsyncFnMut() -> bool,
) -> Duration {
    let start = Instant::now();
    loop {
        if condition().await {
            return start.elapsed();
        }
        assert!(start.elapsed() < limit, "not within {limit:?}: {what}");
        Timer::after(POLL).await;
    }
}

/// Wall-clock time in Unix milliseconds, as the stand-ins record it.
pub fn unix_ms() -> u64 {
    let age = SystemTime::now().duration_since(UNIX_EPOCH);
    age.expect("a wall clock").as_millis() as u64
}
