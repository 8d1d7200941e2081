//! Writing of streams to their readers.

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

/// What a reader has not seen yet.
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

    /// Writes the events of a stream from token `index` on, until it ends or the reader leaves.
    pub(super) async fn feed(
        self: Arc<Self>,
        (serial, signal): (u64, Arc<Signal>),
        index: u64,
        writer: Writer,
        peer: Peer,
    ) {
        let fed = self.write(serial, &signal, index, &writer, &peer).await;
        drop((writer, peer));
        if fed.is_err() {
            self.linger(serial).await;
        }
    }

    async fn write(
        &self,
        serial: u64,
        signal: &Signal,
        mut index: u64,
        writer: &Writer,
        peer: &Peer,
    ) -> Result<(), Error> {
        loop {
            let listener = signal.listen();
            self.thaw(serial, signal).await;
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

    /// Waits for the end of a freeze, or of the stream: a reader of a lost stream is cut off at once.
    async fn thaw(&self, serial: u64, signal: &Signal) {
        loop {
            let listener = signal.listen();
            if !self.gate.is_frozen() || !self.lock().holds(serial) {
                return;
            }
            future::or(self.gate.thaw(), listener.wait()).await;
        }
    }

    /// Keeps a stream that lost its reader for a while, and cancels it if none returns.
    async fn linger(&self, serial: u64) {
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
    fn detach(&mut self, serial: u64) -> Option<u64> {
        let index = self.position(serial)?;
        let stream = &mut self.streams[index];
        stream.readers -= 1;
        stream.departures += 1;
        Some(stream.departures)
    }

    /// A frame of another attempt, if the `cross` fault is set and another attempt has one.
    fn foreign(&mut self, serial: u64) -> Option<String> {
        if !self.cross {
            return None;
        }
        let mut others = self.streams.iter().filter(|stream| stream.serial != serial);
        let frame = others.find_map(|stream| frame(stream, stream.first))?;
        self.cross = false;
        Some(frame)
    }

    /// Whether a stream is neither cancelled nor lost.
    fn holds(&self, serial: u64) -> bool {
        let finished = self.finished.iter().any(|stream| stream.serial == serial);
        finished || self.position(serial).is_some()
    }

    /// What a reader has not seen yet; `None` if the stream was cancelled or lost.
    fn view(&mut self, serial: u64, index: u64) -> Option<View> {
        let stream = match self.position(serial) {
            Some(position) => &self.streams[position],
            None => self
                .finished
                .iter()
                .find(|stream| stream.serial == serial)?,
        };
        let mut frames: Vec<String> = (index.max(stream.first)..)
            .map_while(|index| frame(stream, index))
            .collect();
        let tokens = frames.len() as u64;
        let ended = stream.phase == Phase::Finished;
        if ended {
            frames.push(finish(stream));
            frames.push("[DONE]".to_owned());
        }
        if !frames.is_empty() {
            let foreign = self.foreign(serial);
            frames.splice(0..0, foreign);
        }
        Some(View {
            ended,
            frames,
            tokens,
        })
    }
}

fn finish(stream: &Stream) -> String {
    let Stream {
        attempt, cached, ..
    } = stream;
    let count = stream.first.saturating_add(stream.generated());
    json!({ "attempt": attempt, "cached": cached, "count": count, "finish": "length" }).to_string()
}

fn frame(stream: &Stream, index: u64) -> Option<String> {
    let text = stream.token(index)?;
    Some(json!({ "attempt": stream.attempt, "index": index, "text": text }).to_string())
}
