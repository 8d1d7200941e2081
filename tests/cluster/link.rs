//! Network links between processes that can be cut and healed.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use futures_lite::future;
use smol::net::{TcpListener, TcpStream, UdpSocket};
use smol::{Executor, Task, Timer};

/// Largest forwarded datagram in bytes; a heartbeat has about 100.
const DATAGRAM_LIMIT: usize = 2048;

/// Attempts to bind a port that must be free for both TCP and UDP.
const BIND_ATTEMPTS: usize = 100;

const BIND_PAUSE: Duration = Duration::from_millis(10);

/// Ends of a link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Route {
    /// From instances of a domain to another member of the same domain.
    Inside(String),
    /// From instances of a domain to the log or the instance list.
    Platform(String),
    /// From instances of the first domain to members of the second.
    Across(String, String),
}

/// A forwarder of TCP connections and datagrams, which stops when dropped.
pub struct Link {
    address: SocketAddr,
    route: Route,
    task: Mutex<Option<Task<()>>>,
    upstream: SocketAddr,
}

impl Link {
    pub async fn start(route: Route, upstream: SocketAddr) -> Self {
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let (tcp, udp) = bind(loopback).await;
        Self {
            address: tcp.local_addr().expect("a bound address"),
            route,
            task: Mutex::new(Some(smol::spawn(serve(tcp, udp, upstream)))),
            upstream,
        }
    }

    /// Closes all connections, refuses new ones and drops datagrams.
    pub async fn cut(&self) {
        if let Some(task) = self.take() {
            task.cancel().await;
        }
    }

    pub async fn heal(&self) {
        if let Some(task) = self.take() {
            *self.lock() = Some(task);
            return;
        }
        let (tcp, udp) = bind(self.address).await;
        *self.lock() = Some(smol::spawn(serve(tcp, udp, self.upstream)));
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn route(&self) -> &Route {
        &self.route
    }

    pub fn upstream(&self) -> SocketAddr {
        self.upstream
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Task<()>>> {
        self.task.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self) -> Option<Task<()>> {
        self.lock().take()
    }
}

async fn bind(address: SocketAddr) -> (TcpListener, UdpSocket) {
    for _ in 0..BIND_ATTEMPTS {
        if let Ok(tcp) = TcpListener::bind(address).await {
            let local = tcp.local_addr().expect("a bound address");
            if let Ok(udp) = UdpSocket::bind(local).await {
                return (tcp, udp);
            }
        }
        Timer::after(BIND_PAUSE).await;
    }
    panic!("cannot bind `{address}` for TCP and UDP");
}

/// Forwards until cancelled. Connections run on an executor of their own, so that they end together with the link.
async fn serve(tcp: TcpListener, udp: UdpSocket, upstream: SocketAddr) {
    let executor = Executor::new();
    let accept = async {
        loop {
            if let Ok((near, _)) = tcp.accept().await {
                executor.spawn(forward(near, upstream)).detach();
            }
        }
    };
    let work = future::or(accept, forward_datagrams(udp, upstream));
    future::or(work, executor.run(future::pending::<()>())).await;
}

async fn forward_datagrams(udp: UdpSocket, upstream: SocketAddr) {
    let mut buffer = [0; DATAGRAM_LIMIT];
    loop {
        // A receive fails once after a datagram was sent to a port that is closed.
        if let Ok((length, _)) = udp.recv_from(&mut buffer).await {
            let _ = udp.send_to(&buffer[..length], upstream).await;
        }
    }
}

/// Copies bytes in both directions until either side closes.
async fn forward(near: TcpStream, upstream: SocketAddr) {
    let Ok(far) = TcpStream::connect(upstream).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let up = smol::io::copy(near.clone(), far.clone());
    let down = smol::io::copy(far, near);
    let _ = future::or(up, down).await;
}
