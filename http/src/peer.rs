use std::future::Future;

use futures_lite::future;
use smol::net::TcpStream;

use crate::Error;

/// The other end of a server connection.
#[derive(Clone, Debug)]
pub struct Peer {
    stream: TcpStream,
}

impl Peer {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self { stream }
    }

    /// Resolves when the caller has closed its sending side. Call it only after the request body has been read.
    ///
    /// A half-closed connection counts as closed. If the caller has pipelined further bytes, the close cannot be
    /// detected and the future stays pending.
    pub async fn closed(&self) {
        let mut byte = [0];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            Ok(_) => future::pending().await,
        }
    }

    /// Runs `work` until it completes or the caller closes the connection.
    ///
    /// # Errors
    /// `Error::Closed` if the connection was closed first; `work` is then dropped.
    pub async fn run_until_closed<T>(&self, work: impl Future<Output = T>) -> Result<T, Error> {
        future::or(async { Ok(work.await) }, async {
            self.closed().await;
            Err(Error::Closed)
        })
        .await
    }
}
