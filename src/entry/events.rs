use bytes::{Buf, Bytes, BytesMut};

use super::platform::Failure;

/// Maximum size of an event; a target that sends more without ending the event is faulty.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Fields of an event; a comment has an empty name.
const FIELDS: [&str; 5] = ["", "data", "event", "id", "retry"];

/// Splits a stream into complete events, and checks their lines and that their ids are consecutive.
#[derive(Clone, Debug, Default)]
pub struct Events {
    buffer: BytesMut,
    /// Fields that targets add to those of the standard.
    extra_fields: &'static [&'static str],
    last: Option<u64>,
    /// Whether lines end with a carriage return; none before the first line.
    returns: Option<bool>,
}

impl Events {
    /// A stream that continues after the event with this id.
    pub fn after(last: Option<u64>) -> Events {
        Events {
            last,
            ..Events::default()
        }
    }

    /// Accepts these fields too.
    pub fn with_fields(self, extra_fields: &'static [&'static str]) -> Events {
        Events {
            extra_fields,
            ..self
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
    /// Fails if an event has no id, has an id that does not follow the last one, has a line that is no field, or is too
    /// large. Complete events in `bytes` are lost then; the caller has to request them from another target.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Failure> {
        self.buffer.extend_from_slice(bytes);
        let mut complete = 0;
        let mut last = self.last;
        while let Some(length) = event_length(&self.buffer[complete..]) {
            let event = &self.buffer[complete..complete + length];
            let id = event_id(event).ok_or(Failure::Broken)?;
            self.returns = self.check_lines(event)?;
            if last.is_some_and(|last| last.checked_add(1) != Some(id)) {
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

impl Events {
    /// Checks that an event consists of fields whose lines end like those before. A target that fails within an event may
    /// write an error behind what it wrote, or begin again. Returns how lines end.
    fn check_lines(&self, event: &[u8]) -> Result<Option<bool>, Failure> {
        let mut returns = self.returns;
        let mut ids = 0;
        for line in event.split_inclusive(|byte| *byte == b'\n') {
            let (line, ends_with_return) = match line.strip_suffix(b"\r\n") {
                Some(line) => (line, true),
                None => (line.strip_suffix(b"\n").unwrap_or(line), false),
            };
            if *returns.get_or_insert(ends_with_return) != ends_with_return {
                return Err(Failure::Broken);
            }
            if line.is_empty() {
                continue;
            }
            let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
            let mut known = FIELDS.iter().chain(self.extra_fields);
            if !known.any(|known| known.as_bytes() == name) {
                return Err(Failure::Broken);
            }
            ids += usize::from(name == b"id");
        }
        match ids {
            1 => Ok(returns),
            _ => Err(Failure::Broken),
        }
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
