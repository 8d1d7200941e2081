use std::future::Future;
use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::Timer;

/// Longest accepted head of a request or response in bytes.
pub(crate) const HEAD_LIMIT: usize = 8 << 10;

/// The four bytes at the end of a head.
const HEAD_END: u32 = u32::from_be_bytes(*b"\r\n\r\n");

/// Checks the head of one message while it is read, and bounds the time to discard its body.
///
/// `async-h1` checks the length of a head only at the end of each line and panics on header values that are not ASCII.
#[derive(Debug, Default)]
struct Head {
    /// When the part of the body that the handler has not read must be discarded.
    discard_deadline: Option<Instant>,
    /// Bytes of the head that were read.
    length: usize,
    /// The last four of them.
    tail: u32,
}

impl Head {
    fn scan(&mut self, bytes: &[u8]) -> Result<()> {
        if self
            .discard_deadline
            .is_some_and(|end| Instant::now() > end)
        {
            return Err(ErrorKind::TimedOut.into());
        }
        for byte in bytes {
            if self.tail == HEAD_END {
                return Ok(());
            }
            if self.length == HEAD_LIMIT || !byte.is_ascii() {
                let message = "head is too long or not ASCII";
                return Err(Error::new(ErrorKind::InvalidData, message));
            }
            self.length += 1;
            self.tail = self.tail << 8 | u32::from(*byte);
        }
        Ok(())
    }
}

/// A connection that checks the heads it reads and whose reads and writes time out if they make no progress.
#[derive(Debug)]
pub(crate) struct Socket<S> {
    head: Arc<Mutex<Head>>,
    stall_timeout: Option<Duration>,
    stream: S,
    timer: Option<Timer>,
}

impl<S: Clone> Clone for Socket<S> {
    fn clone(&self) -> Self {
        Self {
            head: self.head.clone(),
            stall_timeout: self.stall_timeout,
            stream: self.stream.clone(),
            timer: None,
        }
    }
}

impl<S> Socket<S> {
    /// Wraps `stream`; `stall_timeout` is the longest time that one read or write may make no progress.
    pub(crate) fn new(stream: S, stall_timeout: Option<Duration>) -> Self {
        Self {
            head: Arc::default(),
            stall_timeout,
            stream,
            timer: None,
        }
    }

    /// Starts to check the head of the next message.
    pub(crate) fn start_head(&self) {
        *self.head() = Head::default();
    }

    /// Starts the time in which the part of the body that the handler has not read must be discarded.
    pub(crate) fn start_discard(&self) {
        self.head().discard_deadline = self.stall_timeout.map(|timeout| Instant::now() + timeout);
    }

    fn head(&self) -> MutexGuard<'_, Head> {
        self.head.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Fails with `TimedOut` when the operation has been pending for longer than the stall timeout.
    fn check_stall<T>(
        &mut self,
        cx: &mut Context<'_>,
        outcome: Poll<Result<T>>,
    ) -> Poll<Result<T>> {
        let Some(stall_timeout) = self.stall_timeout else {
            return outcome;
        };
        if outcome.is_ready() {
            self.timer = None;
            return outcome;
        }
        let timer = self
            .timer
            .get_or_insert_with(|| Timer::after(stall_timeout));
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
        self.check_stall(cx, outcome)
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
        self.check_stall(cx, outcome)
    }
}
