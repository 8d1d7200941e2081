use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::{ready, AsyncBufRead, AsyncRead, Stream};
use http_types::Body;

use crate::Error;

/// Chunks that a pipe buffers before [`Writer::send`] waits.
const PIPE_CHUNKS: usize = 64;

/// Writing end of a streamed body.
#[derive(Clone, Debug)]
pub struct Writer {
    sender: async_channel::Sender<Vec<u8>>,
}

impl Writer {
    /// Sends one chunk. An empty one is skipped, since it would end the body.
    ///
    /// # Errors
    /// `Error::Closed` if the reader was dropped.
    pub async fn send(&self, chunk: impl Into<Vec<u8>>) -> Result<(), Error> {
        let chunk = chunk.into();
        if chunk.is_empty() {
            return Ok(());
        }
        self.sender.send(chunk).await.map_err(|_| Error::Closed)
    }

    /// Whether the reader was dropped.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Reading end of a streamed body.
struct Reader {
    chunk: Vec<u8>,
    position: usize,
    receiver: Pin<Box<async_channel::Receiver<Vec<u8>>>>,
}

impl AsyncBufRead for Reader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.position >= this.chunk.len() {
            // The position is reset only after the next chunk has arrived; otherwise the old chunk would be read again.
            this.chunk = ready!(this.receiver.as_mut().poll_next(cx)).unwrap_or_default();
            this.position = 0;
        }
        Poll::Ready(Ok(&this.chunk[this.position..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().position += amount;
    }
}

impl AsyncRead for Reader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = ready!(self.as_mut().poll_fill_buf(cx))?;
        let count = available.len().min(buffer.len());
        buffer[..count].copy_from_slice(&available[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}

/// Makes a body that is written chunk by chunk; it ends when all writers are dropped.
pub fn pipe() -> (Writer, Body) {
    let (sender, receiver) = async_channel::bounded(PIPE_CHUNKS);
    let reader = Reader {
        chunk: Vec::new(),
        position: 0,
        receiver: Box::pin(receiver),
    };
    (Writer { sender }, Body::from_reader(reader, None))
}
