use bytes::{Buf, Bytes, BytesMut};

use super::platform::Failure;

/// Longest event that is waited for. A target that sends more without an end of the event is at fault.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits a stream into whole events and checks that their ids follow each other.
#[derive(Clone, Debug, Default)]
pub struct Events {
    buffer: BytesMut,
    last: Option<u64>,
}

impl Events {
    /// A stream that goes on after the event with this id.
    pub fn after(last: Option<u64>) -> Events {
        Events {
            buffer: BytesMut::new(),
            last,
        }
    }

    /// Id of the last whole event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether no part of an event is left over.
    pub fn is_whole(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Drops the part of an event that is left over; another target sends the event anew.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Takes bytes and returns the whole events among them.
    ///
    /// # Errors
    /// Fails if an event has no id, or one that does not follow, or does not end. The events before it are lost to
    /// the caller of this function, who has to send them anew from another target.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Failure> {
        self.buffer.extend_from_slice(bytes);
        let mut whole = 0;
        let mut last = self.last;
        while let Some(length) = event(&self.buffer[whole..]) {
            let id = id(&self.buffer[whole..whole + length]).ok_or(Failure::Broken)?;
            if last.is_some_and(|last| id != last + 1) {
                return Err(Failure::Broken);
            }
            last = Some(id);
            whole += length;
        }
        if self.buffer.len() - whole > MAX_EVENT_BYTES {
            return Err(Failure::Broken);
        }
        self.last = last;
        let events = Bytes::copy_from_slice(&self.buffer[..whole]);
        self.buffer.advance(whole);
        Ok(events)
    }
}

/// Length of the first event with its empty line.
fn event(bytes: &[u8]) -> Option<usize> {
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

fn id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    value.trim().parse().ok()
}
