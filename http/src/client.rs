use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http_types::{Body, Method, Request, Response, Url};
use smol::net::TcpStream;
use socket2::SockRef;

use crate::meter::Meter;
use crate::socket::Socket;
use crate::{read, Error, Traffic};

/// Most idle connections that are kept for one address.
const IDLE_LIMIT: usize = 16;

/// Whether a request may use a pooled connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// Always opens a new connection: a failed connect then proves that no byte was written.
    Never,
    /// Uses an idle connection if there is one. For idempotent requests only: if it is stale, the request is sent again
    /// over a new one.
    Pooled,
}

/// Idle connections to one address.
#[derive(Debug)]
struct Idle {
    address: SocketAddr,
    streams: Vec<TcpStream>,
}

/// An HTTP client with a pool of idle connections.
#[derive(Debug, Default)]
pub struct Client {
    /// Sorted by address.
    idle: Mutex<Vec<Idle>>,
    traffic: Arc<Traffic>,
}

impl Client {
    /// Makes a client whose [`Client::fetch`] counts its bytes in `traffic`. Bytes of [`Client::stream`] are not
    /// counted.
    pub fn metered(traffic: Arc<Traffic>) -> Self {
        Self {
            traffic,
            ..Self::default()
        }
    }

    /// Builds a request to `path` on `address`.
    ///
    /// # Errors
    /// Fails if `path` does not form a valid URL.
    pub fn request(method: Method, address: SocketAddr, path: &str) -> Result<Request, Error> {
        let url = Url::parse(&format!("http://{address}{path}"))
            .map_err(|error| Error::Exchange(format!("bad path `{path}`: {error}")))?;
        Ok(Request::new(method, url))
    }

    /// Sends a request and reads the whole response, up to `limit` bytes.
    ///
    /// # Errors
    /// `Error::Connect` means that no byte was written; after any other error the server may have received the request.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        mut request: Request,
        reuse: Reuse,
        limit: usize,
    ) -> Result<(Response, Vec<u8>), Error> {
        let bytes = read(request.take_body(), usize::MAX >> 1).await?;
        if reuse == Reuse::Pooled {
            if let Some(stream) = self.take_idle(address) {
                // Cloning a request drops its body.
                let mut first = request.clone();
                first.set_body(bytes.clone());
                if let Ok(response) = self.exchange(address, stream, first, limit).await {
                    return Ok(response);
                }
            }
        }
        let stream = connect(address).await?;
        request.set_body(bytes);
        self.exchange(address, stream, request, limit).await
    }

    /// Sends a request over a new connection and returns the response with its body unread.
    /// Dropping the response closes the connection.
    ///
    /// # Errors
    /// `Error::Connect` means that no byte was written; after any other error the server may have received the request.
    pub async fn stream(&self, address: SocketAddr, request: Request) -> Result<Response, Error> {
        Connection::open(address).await?.send(request).await
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        stream: TcpStream,
        request: Request,
        limit: usize,
    ) -> Result<(Response, Vec<u8>), Error> {
        let meter = Meter {
            stream: stream.clone(),
            traffic: self.traffic.clone(),
        };
        let mut response = send(meter, request).await?;
        let body = response.take_body();
        let bytes = read(body, limit).await?;
        response.set_body(Body::empty());
        self.put_idle(address, stream);
        Ok((response, bytes))
    }

    /// Closes the idle connections to an address.
    pub fn discard(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(|error| error.into_inner());
        idle.retain(|entry| entry.address != address);
    }

    fn put_idle(&self, address: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(|error| error.into_inner());
        match idle.binary_search_by_key(&address, |entry| entry.address) {
            Ok(index) if idle[index].streams.len() < IDLE_LIMIT => idle[index].streams.push(stream),
            Ok(_) => {}
            Err(index) => idle.insert(
                index,
                Idle {
                    address,
                    streams: vec![stream],
                },
            ),
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap_or_else(|error| error.into_inner());
        let index = idle
            .binary_search_by_key(&address, |entry| entry.address)
            .ok()?;
        idle[index].streams.pop()
    }
}

/// An open connection over which nothing has been sent yet.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    traffic: Arc<Traffic>,
}

impl Connection {
    /// Opens a connection. Sending is a separate step, so that a last check can be made before it.
    ///
    /// # Errors
    /// Fails with `Error::Connect`; no byte was written.
    pub async fn open(address: SocketAddr) -> Result<Self, Error> {
        let stream = connect(address).await?;
        Ok(Self {
            stream,
            traffic: Arc::default(),
        })
    }

    /// Counts the bytes of the exchange in `traffic`.
    pub fn metered(self, traffic: Arc<Traffic>) -> Self {
        Self { traffic, ..self }
    }

    /// Sends the request and returns the response with its body unread.
    ///
    /// # Errors
    /// After any error the server may have received the request.
    pub async fn send(self, request: Request) -> Result<Response, Error> {
        let meter = Meter {
            stream: self.stream,
            traffic: self.traffic,
        };
        send(meter, request).await
    }
}

async fn connect(address: SocketAddr) -> Result<TcpStream, Error> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| Error::Connect(address.to_string(), error))?;
    let _ = stream.set_nodelay(true);
    // A later close resets the connection. The kernel would otherwise go on delivering what a cut has held up, long
    // after the request was abandoned.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    Ok(stream)
}

async fn send(stream: Meter, request: Request) -> Result<Response, Error> {
    // The future is large; on the heap it does not enlarge the futures that await it and their stack frames.
    Box::pin(async_h1::connect(Socket::new(stream, None), request))
        .await
        .map_err(|error| Error::Exchange(error.to_string()))
}
