//! Writes streams to their readers.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use jujubehook_http::{Error, Peer, Writer};
use serde_json::json;
use smol::Timer;

use crate::engine::core::Core;
use crate::engine::state::State;
use crate::engine::stream::{Phase, Stream};
use crate::signal::Signal;

/// The part of a stream that a reader has not received yet.
struct View {
    ended: bool,
    frames: Vec<String>,
    tokens: u64,
}

impl Core {
    /// Registers a reader of a stream, running or finished.
    pub(super) fn attach(&self, attempt: &str) -> Option<(u64, Arc<Signal>)> {
        let mut state = self.lock();
        let stream = match state.find_stream(attempt) {
            Ok(index) => &mut state.streams[index],
            Err(_) => state
                .finished
                .iter_mut()
                .rev()
                .find(|stream| stream.attempt == attempt)?,
        };
        stream.readers += 1;
        Some((stream.serial, Arc::clone(&stream.signal)))
    }

    /// Writes the events of a stream from token `index` on, until it ends or the reader disconnects.
    pub(super) async fn write_stream(
        self: Arc<Self>,
        (serial, signal): (u64, Arc<Signal>),
        index: u64,
        writer: Writer,
        peer: Peer,
    ) {
        let written = self
            .write_events(serial, &signal, index, &writer, &peer)
            .await;
        drop((writer, peer));
        if written.is_err() {
            self.cancel_if_abandoned(serial).await;
        }
    }

    async fn write_events(
        &self,
        serial: u64,
        signal: &Signal,
        mut index: u64,
        writer: &Writer,
        peer: &Peer,
    ) -> Result<(), Error> {
        loop {
            let listener = signal.listen();
            self.wait_unfrozen(serial, signal).await;
            let Some(view) = self.lock().view(serial, index) else {
                return Ok(());
            };
            for frame in view.frames {
                writer.send(format!("data: {frame}\n\n")).await?;
            }
            if view.ended {
                return Ok(());
            }
            index += view.tokens;
            peer.run_until_closed(listener.wait()).await?;
        }
    }

    /// Waits until the engine is not frozen or the stream was cancelled or lost, so that its reader learns of that at
    /// once.
    async fn wait_unfrozen(&self, serial: u64, signal: &Signal) {
        loop {
            let listener = signal.listen();
            if !self.gate.is_frozen() || !self.lock().has_stream(serial) {
                return;
            }
            future::or(self.gate.wait_unfrozen(), listener.wait()).await;
        }
    }

    /// Unregisters a reader that disconnected, and cancels the stream unless a reader attaches within `resume_ms`.
    async fn cancel_if_abandoned(&self, serial: u64) {
        let Some(departures) = self.lock().detach(serial) else {
            return;
        };
        Timer::after(Duration::from_millis(self.settings.resume_ms)).await;
        let mut state = self.lock();
        let Some(index) = state.position(serial) else {
            return;
        };
        let stream = &state.streams[index];
        if stream.readers == 0 && stream.departures == departures {
            let attempt = stream.attempt.clone();
            state.cancel(&attempt);
        }
    }
}

impl State {
    /// Unregisters a reader, and returns how many have left the stream; `None` if the stream is not running.
    fn detach(&mut self, serial: u64) -> Option<u64> {
        let index = self.position(serial)?;
        let stream = &mut self.streams[index];
        stream.readers -= 1;
        stream.departures += 1;
        Some(stream.departures)
    }

    /// A frame of another attempt, if the `cross` fault is set and another attempt has one. Resets the fault.
    fn crossed_frame(&mut self, serial: u64) -> Option<String> {
        if !self.cross {
            return None;
        }
        let mut others = self.streams.iter().filter(|stream| stream.serial != serial);
        let frame = others.find_map(|stream| token_frame(stream, stream.first))?;
        self.cross = false;
        Some(frame)
    }

    /// Whether a stream is running or finished, rather than cancelled or lost.
    fn has_stream(&self, serial: u64) -> bool {
        let finished = self.finished.iter().any(|stream| stream.serial == serial);
        finished || self.position(serial).is_some()
    }

    /// The part of a stream from token `index` on; `None` if the stream was cancelled or lost.
    fn view(&mut self, serial: u64, index: u64) -> Option<View> {
        let stream = match self.position(serial) {
            Some(position) => &self.streams[position],
            None => self
                .finished
                .iter()
                .find(|stream| stream.serial == serial)?,
        };
        let mut frames: Vec<String> = (index.max(stream.first)..)
            .map_while(|index| token_frame(stream, index))
            .collect();
        let tokens = frames.len() as u64;
        let ended = stream.phase == Phase::Finished;
        if ended {
            frames.push(final_frame(stream));
            frames.push("[DONE]".to_owned());
        }
        if !frames.is_empty() {
            let crossed = self.crossed_frame(serial);
            frames.splice(0..0, crossed);
        }
        Some(View {
            ended,
            frames,
            tokens,
        })
    }
}

/// The event at the end of a stream.
fn final_frame(stream: &Stream) -> String {
    let Stream {
        attempt, cached, ..
    } = stream;
    let count = stream.first.saturating_add(stream.generated());
    json!({ "attempt": attempt, "cached": cached, "count": count, "finish": "length" }).to_string()
}

/// The event of one token.
fn token_frame(stream: &Stream, index: u64) -> Option<String> {
    let text = stream.token(index)?;
    Some(json!({ "attempt": stream.attempt, "index": index, "text": text }).to_string())
}
