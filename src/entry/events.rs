use bytes::{Buf, Bytes, BytesMut};

use super::platform::Failure;

/// Maximum size of an event; a target that sends more without ending the event is faulty.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits a stream into complete events and checks that their ids are consecutive.
#[derive(Clone, Debug, Default)]
pub struct Events {
    buffer: BytesMut,
    last: Option<u64>,
}

impl Events {
    /// A stream that continues after the event with this id.
    pub fn after(last: Option<u64>) -> Events {
        Events {
            buffer: BytesMut::new(),
            last,
        }
    }

    /// Id of the last complete event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether no incomplete event is buffered.
    pub fn is_whole(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Discards an incomplete event; another target sends it again.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Adds bytes and returns the events that are complete.
    ///
    /// # Errors
    /// Fails if an event has no id, has an id that does not follow the last one, or is too large. Complete events in
    /// `bytes` are lost then; the caller has to request them from another target.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Failure> {
        self.buffer.extend_from_slice(bytes);
        let mut complete = 0;
        let mut last = self.last;
        while let Some(length) = event_length(&self.buffer[complete..]) {
            let id = event_id(&self.buffer[complete..complete + length]).ok_or(Failure::Broken)?;
            if last.is_some_and(|last| id != last + 1) {
                return Err(Failure::Broken);
            }
            last = Some(id);
            complete += length;
        }
        if self.buffer.len() - complete > MAX_EVENT_BYTES {
            return Err(Failure::Broken);
        }
        self.last = last;
        let events = Bytes::copy_from_slice(&self.buffer[..complete]);
        self.buffer.advance(complete);
        Ok(events)
    }
}

/// Length of the first event, including its empty line.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut at = 0;
    while let Some(length) = bytes[at..].iter().position(|byte| *byte == b'\n') {
        let line = &bytes[at..at + length];
        at += length + 1;
        if line.is_empty() || line == b"\r" {
            return Some(at);
        }
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    value.trim().parse().ok()
}
