//! The daemon: caller API, peer API and background loops.

mod answer;
mod api;
mod calls;
mod candidates;
mod client;
mod frames;
mod gang;
mod loads;
mod once;
mod peer;
mod serve;
mod state;
mod status;
mod task;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jujubehook_http::Server;
use smol::net::UdpSocket;
use smol::{Task, Timer};

use crate::clock::Clock;
use crate::error::{Error, Kind};
use crate::event;
use crate::settings::Settings;
use state::{lock, State};

/// Times that a message may be forwarded between instances on its way to a target.
const HOP_LIMIT: u8 = 2;

/// Time limit for the requests in progress during a graceful shutdown.
const DRAIN_LIMIT: Duration = Duration::from_secs(600);

/// Time between two checks whether requests are still in progress during a graceful shutdown.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

/// Prefix of the paths that only peers and operators with the peer key may use.
const PEER_PATH: &str = "/peer/";

/// A running daemon. Dropping it stops it at once; [`Daemon::shutdown`] lets the requests in progress finish first.
pub struct Daemon {
    server: Server,
    state: Arc<State>,
    _tasks: Vec<Task<()>>,
}

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    /// Fails if an address cannot be bound or the routing policy is unknown.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let listen = settings.listen;
        let state = Arc::new(State::new(settings, Arc::new(Clock::new()))?);
        let shared = state.clone();
        let server = Server::start(listen, move |request, peer| {
            let state = shared.clone();
            async move {
                if request.url().path().starts_with(PEER_PATH) {
                    return Box::pin(peer::answer(state, request, peer)).await;
                }
                api::serve(state, request, peer).await
            }
        })
        .await
        .map_err(|error| bind_error(listen, &error))?;
        let socket = UdpSocket::bind(server.address())
            .await
            .map_err(|error| bind_error(server.address(), &error))?;
        event!(
            state.source,
            "started",
            address = %server.address(),
            incarnation = event::hex(state.incarnation),
            policy = state.settings.policy.as_str()
        );
        let tasks = tasks(&state, socket);
        Ok(Self {
            server,
            state,
            _tasks: tasks,
        })
    }

    /// The address on which callers and peers reach this instance.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Whether this instance is the controller of its domain, as far as it has read the log.
    pub fn is_controller(&self) -> bool {
        self.state.is_controller()
    }

    /// Whether load balancers should send callers to this instance.
    pub fn is_ready(&self) -> bool {
        self.state.is_ready()
    }

    /// Number of targets that this instance dispatches to.
    pub fn owned_targets(&self) -> usize {
        self.state.owned_targets()
    }

    /// Hands its targets over to peers, waits for the requests in progress, then stops.
    pub async fn shutdown(self) {
        let state = &self.state;
        state.leave();
        let now = state.clock.now();
        let actions = lock(&state.ownership).leave(now);
        task::heartbeat::act(state, actions);
        event!(state.source, "leaving", requests = state.active());
        let until = now + DRAIN_LIMIT;
        // Serves callers that a load balancer still sends here until the heartbeats have told every peer of the
        // shutdown.
        Timer::after(state.settings.network.heartbeat * 2).await;
        let handover_end = now + state.settings.network.lease * 2;
        while (state.active() > 0 || self.is_busy() || self.awaits_handover(handover_end))
            && state.clock.now() < until
        {
            Timer::after(DRAIN_INTERVAL).await;
        }
        event!(state.source, "stopped", requests = state.active());
    }

    /// Whether live peers still have to take over targets and `end` has not passed.
    fn awaits_handover(&self, end: Duration) -> bool {
        let now = self.state.clock.now();
        let peers = lock(&self.state.ownership).live(now);
        now < end && !peers.is_empty() && self.owned_targets() > 0
    }

    /// Whether work of other instances is still queued or running here.
    fn is_busy(&self) -> bool {
        let state = &self.state;
        state.queues().iter().any(|queue| queue.is_busy())
    }
}

fn bind_error(address: SocketAddr, error: &std::io::Error) -> Error {
    Error::new(Kind::Internal, format!("cannot bind `{address}`: {error}"))
}

fn tasks(state: &Arc<State>, socket: UdpSocket) -> Vec<Task<()>> {
    vec![
        smol::spawn(task::heartbeat::send(state.clone(), socket.clone())),
        smol::spawn(task::heartbeat::receive(state.clone(), socket)),
        smol::spawn(task::heartbeat::tick(state.clone())),
        smol::spawn(task::control::run(state.clone())),
        smol::spawn(task::follow::run(state.clone())),
        smol::spawn(task::follow::catch_up(state.clone())),
        smol::spawn(task::list::run(state.clone())),
        smol::spawn(task::queue::run(state.clone())),
        smol::spawn(task::reap::run(state.clone())),
    ]
}
