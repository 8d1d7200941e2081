use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use http_types::{Request, Response};
use smol::lock::Semaphore;
use smol::net::{TcpListener, TcpStream};
use smol::{Executor, Task, Timer};

use crate::Peer;

/// Connections that one server holds open at a time; further ones wait in the accept queue.
const CONNECTION_LIMIT: usize = 4096;

/// Pause after a failed accept, which otherwise would spin when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A running HTTP server. Dropping it closes the listener and cuts every connection a little later;
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
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = smol::spawn(serve(listener, handler));
        Ok(Self { address, task })
    }

    /// The address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and cuts every connection.
    pub async fn stop(self) {
        self.task.cancel().await;
    }
}

/// Connections run on an executor of this server, so that they end together with it.
async fn serve<F, R>(listener: TcpListener, handler: F)
where
    F: Fn(Request, Peer) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response> + Send + 'static,
{
    let executor = Executor::new();
    let slots = Arc::new(Semaphore::new(CONNECTION_LIMIT));
    let accept = async {
        loop {
            let slot = slots.acquire_arc().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    let handler = handler.clone();
                    executor
                        .spawn(async move {
                            converse(stream, handler).await;
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

async fn converse<F, R>(stream: TcpStream, handler: F)
where
    F: Fn(Request, Peer) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response> + Send + 'static,
{
    // Small frames must not wait for the acknowledgement of the previous one.
    let _ = stream.set_nodelay(true);
    let peer = Peer::new(stream.clone());
    let _ = async_h1::accept(stream, |request| {
        // Handlers are large futures; inside those of the connection they would be copied on the stack.
        let work = Box::pin(handler(request, peer.clone()));
        async move { Ok(work.await) }
    })
    .await;
}
