//! Model engine: continuous batching, prefix cache, KV handles, stream resumption, orders, and crashes under load while
//! cold.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use smol::Task;

use crate::engine::core::Core;
use crate::engine::state::State;
use crate::gate::Gate;
use crate::host::Host;
use crate::signal::Signal;

mod admit;
mod cache;
mod chain;
mod core;
mod feed;
mod handle;
mod journal;
mod kv;
mod load;
mod memory;
mod order;
mod report;
mod settings;
mod state;
mod stream;
mod work;

pub use settings::Settings;

/// A running engine; dropping it stops the server and ends all streams.
pub struct Engine {
    core: Arc<Core>,
    host: Host,
    _prefills: Task<()>,
}

impl Engine {
    /// Serves an engine on `address`.
    ///
    /// # Errors
    /// Fails if a rate is not positive or the address cannot be bound.
    pub async fn start(address: SocketAddr, settings: Settings) -> io::Result<Self> {
        check_rates(&settings)?;
        let (gate, outages) = Gate::new();
        let mut state = State::new(settings.clone());
        state.report_load();
        let core = Arc::new(Core {
            arrivals: Signal::default(),
            gate,
            settings,
            state: Mutex::new(state),
        });
        let host = Host::start(address, Arc::clone(&core), outages).await?;
        let prefills = smol::spawn(Arc::clone(&core).run_prefills());
        Ok(Self {
            core,
            host,
            _prefills: prefills,
        })
    }

    /// The address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }
}

impl Drop for Engine {
    /// Ends all streams, so that the tasks that write them to readers end too.
    fn drop(&mut self) {
        self.core.lock().crash();
    }
}

fn check_rates(settings: &Settings) -> io::Result<()> {
    let rates = [
        ("cold_factor", settings.cold_factor),
        ("decode_rate", settings.decode_rate),
        ("prefill_rate", settings.prefill_rate),
    ];
    match rates
        .iter()
        .find(|(_, rate)| !(rate.is_finite() && *rate >= 1e-3))
    {
        Some((name, rate)) => Err(io::Error::new(
            io::ErrorKind::InvalidInput,
            format!("`{name}` must be at least 0.001, not `{rate}`"),
        )),
        None => Ok(()),
    }
}
