//! A server that outages stop and restart on the same address.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use jujubehook_http::http_types::{Request, Response};
use jujubehook_http::{Peer, Server};
use smol::{Task, Timer};

use crate::gate::Outage;

/// Pause between attempts to bind the address again after an outage.
const BIND_PAUSE: Duration = Duration::from_millis(5);

/// Handles the requests of a stand-in.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Handles one request.
    fn handle(
        self: Arc<Self>,
        request: Request,
        peer: Peer,
    ) -> impl Future<Output = Response> + Send + 'static;
}

/// A server with outages. Dropping it closes all connections.
#[derive(Debug)]
pub(crate) struct Host {
    address: SocketAddr,
    _task: Task<()>,
}

impl Host {
    /// Serves `handler`. Port 0 takes a free port, which outages do not change.
    pub(crate) async fn start(
        address: SocketAddr,
        handler: Arc<impl Handler>,
        outages: Receiver<Outage>,
    ) -> io::Result<Self> {
        let server = bind(address, &handler).await?;
        let address = server.address();
        let task = smol::spawn(supervise(server, handler, outages));
        Ok(Self {
            address,
            _task: task,
        })
    }

    /// The address that the server listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn bind(address: SocketAddr, handler: &Arc<impl Handler>) -> io::Result<Server> {
    let handler = Arc::clone(handler);
    Server::start(address, move |request, peer| {
        Arc::clone(&handler).handle(request, peer)
    })
    .await
}

/// Stops the server for each requested outage and restarts it afterwards.
async fn supervise(mut server: Server, handler: Arc<impl Handler>, outages: Receiver<Outage>) {
    let address = server.address();
    while let Ok(outage) = outages.recv().await {
        Timer::after(outage.delay).await;
        tracing::info!(%address, length_ms = outage.length.as_millis(), "outage");
        server.stop().await;
        Timer::after(outage.length).await;
        server = loop {
            match bind(address, &handler).await {
                Ok(server) => break server,
                Err(_) => Timer::after(BIND_PAUSE).await,
            };
        };
    }
}
