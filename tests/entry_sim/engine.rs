use std::time::Duration;

/// Instance and number of a request.
type Request = (usize, u64);

/// The parts of prompts at one engine, which processes the newest first.
#[derive(Clone, Debug, Default)]
pub(super) struct Processor {
    parts: Vec<(Request, Duration)>,
}

impl Processor {
    pub(super) fn add(&mut self, request: Request, time: Duration) {
        self.parts.push((request, time));
    }

    pub(super) fn remove(&mut self, request: Request) {
        self.parts.retain(|(known, _)| *known != request);
    }

    /// What is decoded in `time`, as the time that it takes beside no prefill: a decode step that also prefills a chunk
    /// takes about ten times as long.
    pub(super) fn decoded(&self, time: Duration) -> Duration {
        match self.parts.is_empty() {
            true => time,
            false => time / 10,
        }
    }

    pub(super) fn has(&self, request: Request) -> bool {
        self.parts.iter().any(|(known, _)| *known == request)
    }

    /// Processes parts for `time`.
    pub(super) fn work(&mut self, mut time: Duration) {
        while let Some((_, left)) = self.parts.last_mut() {
            if *left > time {
                *left -= time;
                return;
            }
            time -= *left;
            self.parts.pop();
        }
    }
}
