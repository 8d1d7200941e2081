use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use http_types::{Request, Response};
use smol::lock::Semaphore;
use smol::net::{TcpListener, TcpStream};
use smol::{Executor, Task, Timer};

use async_h1::server::ConnectionStatus;

use crate::socket::Socket;
use crate::{Limits, Peer};

/// Pause after a failed accept, so that the loop does not spin when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A running HTTP server. Dropping it closes the listener and all connections in the background;
/// [`Server::stop`] waits for that.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: Task<()>,
}

impl Server {
    /// Serves `handler` on `address`; port 0 takes a free port.
    pub async fn start<F, R>(address: SocketAddr, handler: F) -> std::io::Result<Self>
    where
        F: Fn(Request, Peer) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Response> + Send + 'static,
    {
        Self::start_with_limits(address, Limits::default(), handler).await
    }

    /// Serves `handler` on `address` with the given limits.
    pub async fn start_with_limits<F, R>(
        address: SocketAddr,
        limits: Limits,
        handler: F,
    ) -> std::io::Result<Self>
    where
        F: Fn(Request, Peer) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Response> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = smol::spawn(serve(listener, limits, handler));
        Ok(Self { address, task })
    }

    /// The address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections.
    pub async fn stop(self) {
        self.task.cancel().await;
    }
}

/// Accepts connections. They run on an executor of this server, so that they end together with it.
async fn serve<F, R>(listener: TcpListener, limits: Limits, handler: F)
where
    F: Fn(Request, Peer) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response> + Send + 'static,
{
    let executor = Executor::new();
    let slots = Arc::new(Semaphore::new(limits.connections));
    let accept = async {
        loop {
            let slot = slots.acquire_arc().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    let handler = handler.clone();
                    executor
                        .spawn(async move {
                            serve_connection(stream, limits, handler).await;
                            drop(slot);
                        })
                        .detach();
                }
                Err(_) => {
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    };
    future::or(accept, executor.run(future::pending::<()>())).await;
}

async fn serve_connection<F, R>(stream: TcpStream, limits: Limits, handler: F)
where
    F: Fn(Request, Peer) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response> + Send + 'static,
{
    // With Nagle's algorithm a small write would wait for the acknowledgement of the previous one.
    let _ = stream.set_nodelay(true);
    let peer = Peer::new(stream.clone());
    let socket = Socket::new(stream, Some(limits.stall_timeout));
    let mut server = async_h1::server::Server::new(socket.clone(), |request| {
        // Handler futures are large; on the heap they do not enlarge the connection's future and its stack frames.
        let work = Box::pin(handler(request, peer.clone()));
        let socket = &socket;
        async move {
            let response = work.await;
            socket.start_discard();
            Ok(response)
        }
    });
    while let Ok(ConnectionStatus::KeepAlive) = server.accept_one().await {
        socket.start_head();
    }
}
