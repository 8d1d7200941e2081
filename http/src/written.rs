use std::cell::Cell;
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

/// Whether everything that was to be sent on a connection has been handed to the operating system.
#[derive(Clone, Debug, Default)]
pub struct Written {
    is_partial: Rc<Cell<bool>>,
}

/// A stream that records whether it was flushed after the last write. The HTTP client flushes it only when its own
/// buffer, which has a whole request, is empty.
pub struct Watched {
    stream: TcpStream,
    written: Written,
}

impl Written {
    /// Whether nothing waits to be handed to the operating system.
    pub fn is_complete(&self) -> bool {
        !self.is_partial.get()
    }
}

impl Watched {
    /// Watches a stream.
    pub fn new(stream: TcpStream) -> (Watched, Written) {
        let written = Written::default();
        let watched = Watched {
            stream,
            written: written.clone(),
        };
        (watched, written)
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Watched {
    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.written.is_partial.set(false);
        }
        flushed
    }

    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<Result<usize>> {
        self.written.is_partial.set(true);
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.written.is_partial.set(true);
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }
}
