use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

use crate::Traffic;

/// A connection that counts the bytes read and written.
#[derive(Clone, Debug)]
pub(crate) struct Meter {
    pub(crate) stream: TcpStream,
    pub(crate) traffic: Arc<Traffic>,
}

impl AsyncRead for Meter {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.traffic.add_received(count);
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for Meter {
    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write(context, buffer))?;
        self.traffic.add_sent(count);
        Poll::Ready(Ok(count))
    }
}
