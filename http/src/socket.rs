use std::future::Future;
use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::Timer;

/// Longest accepted head of a request or an answer in bytes.
pub(crate) const HEAD_LIMIT: usize = 8 << 10;

/// The four bytes at the end of a head.
const HEAD_END: u32 = u32::from_be_bytes(*b"\r\n\r\n");

/// Checks the head of one message while it is read, and the time to discard its rest.
///
/// `async-h1` checks the length of a head only at the end of each line, and panics on header values that are not
/// ASCII.
#[derive(Debug, Default)]
struct Head {
    /// End of the time to discard what the handler has not read.
    discard: Option<Instant>,
    seen: usize,
    tail: u32,
}

impl Head {
    fn scan(&mut self, bytes: &[u8]) -> Result<()> {
        if self.discard.is_some_and(|end| Instant::now() > end) {
            return Err(ErrorKind::TimedOut.into());
        }
        for byte in bytes {
            if self.tail == HEAD_END {
                return Ok(());
            }
            if self.seen == HEAD_LIMIT || !byte.is_ascii() {
                let message = "head is too long or not ASCII";
                return Err(Error::new(ErrorKind::InvalidData, message));
            }
            self.seen += 1;
            self.tail = self.tail << 8 | u32::from(*byte);
        }
        Ok(())
    }
}

/// A connection whose heads are checked and whose reads and writes end if they make no progress.
#[derive(Debug)]
pub(crate) struct Socket<S> {
    head: Arc<Mutex<Head>>,
    stall: Option<Duration>,
    stream: S,
    timer: Option<Timer>,
}

impl<S: Clone> Clone for Socket<S> {
    fn clone(&self) -> Self {
        Self {
            head: self.head.clone(),
            stall: self.stall,
            stream: self.stream.clone(),
            timer: None,
        }
    }
}

impl<S> Socket<S> {
    /// `stall` is the longest time without progress of one read or write.
    pub(crate) fn new(stream: S, stall: Option<Duration>) -> Self {
        Self {
            head: Arc::default(),
            stall,
            stream,
            timer: None,
        }
    }

    /// Expects the head of the next message.
    pub(crate) fn expect_head(&self) {
        *self.head() = Head::default();
    }

    /// Bounds the time to discard what the handler has not read of the message.
    pub(crate) fn expect_end(&self) {
        let end = self.stall.map(|stall| Instant::now() + stall);
        self.head().discard = end;
    }

    fn head(&self) -> MutexGuard<'_, Head> {
        self.head.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Turns a wait that is too long into an error.
    fn bound<T>(&mut self, cx: &mut Context<'_>, outcome: Poll<Result<T>>) -> Poll<Result<T>> {
        let Some(stall) = self.stall else {
            return outcome;
        };
        if outcome.is_ready() {
            self.timer = None;
            return outcome;
        }
        let timer = self.timer.get_or_insert_with(|| Timer::after(stall));
        if Pin::new(timer).poll(cx).is_pending() {
            return Poll::Pending;
        }
        self.timer = None;
        Poll::Ready(Err(ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Socket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if let Poll::Ready(Ok(count)) = outcome {
            self.head().scan(&buffer[..count])?;
        }
        self.bound(cx, outcome)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Socket<S> {
    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.bound(cx, outcome)
    }
}
