//! Admission of requests.

use crate::ask::{refuse, Refusal};
use crate::clock::unix_ms;
use crate::engine::chain::Chain;
use crate::engine::report::Seen;
use crate::engine::state::State;
use crate::engine::stream::{Completion, Phase, Stream};
use crate::signal::Signal;
use crate::text;

/// Newest requests that the statistics list.
const REQUEST_LIMIT: usize = 10_000;

/// Result of an accepted request.
pub(super) enum Opened {
    /// The engine crashed under it, or before it was handled.
    Crashed,
    /// It waits for prefill.
    Running,
}

/// Admission of requests.
impl State {
    /// Hash state after the handles of a context, which must continue each other.
    pub(super) fn base(&self, context: &[String]) -> Result<u64, Refusal> {
        let mut state = text::empty();
        for name in context {
            let Ok(index) = self.find_handle(name) else {
                return Err(refuse(404, format!("no handle `{name}`")));
            };
            let handle = &self.handles[index];
            if handle.base != state {
                return Err(refuse(
                    400,
                    format!("handle `{name}` does not continue the context"),
                ));
            }
            state = handle.state;
        }
        Ok(state)
    }

    /// Accepts a request, whose prompt has been hashed into `chain`.
    pub(super) fn open(&mut self, ask: Completion, chain: Chain) -> Result<Opened, Refusal> {
        let checked = self.check(&ask, &chain);
        let status = checked
            .as_ref()
            .map_or_else(|refusal| refusal.status, |()| 200);
        self.see(&ask, status);
        checked.inspect_err(|_| self.refused += 1)?;
        self.reserve(text::tokens(&ask.prompt).saturating_add(ask.max_tokens));
        self.insert(ask, chain);
        if self.warmth.load(self.streams.len()) {
            self.crash();
            return Ok(Opened::Crashed);
        }
        self.note();
        Ok(Opened::Running)
    }

    /// Checks a request. Its context may have changed while the prompt was hashed.
    fn check(&self, ask: &Completion, chain: &Chain) -> Result<(), Refusal> {
        if ask.model != self.orders.loaded.model {
            return Err(refuse(404, format!("model `{}` is not loaded", ask.model)));
        }
        if self.find_stream(&ask.attempt).is_ok() {
            return Err(refuse(409, format!("attempt `{}` is running", ask.attempt)));
        }
        self.check_handle(ask)?;
        let need = text::tokens(&ask.prompt).saturating_add(ask.max_tokens);
        let held = self.reserved() + self.kept();
        if need > self.settings.memory.saturating_sub(held) {
            return Err(refuse(429, format!("no memory for {need} tokens")));
        }
        if self.base(&ask.context)? != chain.base {
            return Err(refuse(409, "the context has changed"));
        }
        Ok(())
    }

    /// A new handle must have an unused name; an existing one can only be extended.
    fn check_handle(&self, ask: &Completion) -> Result<(), Refusal> {
        let Some(name) = &ask.handle else {
            return Ok(());
        };
        let pending =
            |stream: &Stream| stream.handle.as_ref() == Some(name) && stream.phase != Phase::Decode;
        if self.streams.iter().any(pending) {
            return Err(refuse(409, format!("handle `{name}` is being written")));
        }
        match self.find_handle(name) {
            Ok(index) if self.handles[index].remote || ask.context.last() != Some(name) => {
                Err(refuse(409, format!("handle `{name}` exists")))
            }
            Ok(_) | Err(_) => Ok(()),
        }
    }

    fn insert(&mut self, ask: Completion, chain: Chain) {
        self.serial += 1;
        let prompt = text::tokens(&ask.prompt);
        let stream = Stream {
            attempt: ask.attempt,
            cached: 0,
            chain,
            context: ask.context,
            departures: 0,
            first: ask.resume,
            handle: ask.handle,
            max_tokens: ask.max_tokens,
            phase: Phase::Waiting,
            priority: ask.priority,
            prompt,
            readers: 0,
            reserved: prompt + ask.max_tokens,
            serial: self.serial,
            signal: Signal::default().into(),
            text: String::new(),
        };
        if let Err(index) = self.find_stream(&stream.attempt) {
            self.streams.insert(index, stream);
        }
    }

    fn see(&mut self, ask: &Completion, status: u16) {
        if self.requests.len() == REQUEST_LIMIT {
            self.requests.pop_front();
        }
        self.requests.push_back(Seen {
            at_ms: unix_ms(),
            attempt: ask.attempt.clone(),
            handle: ask.handle.clone(),
            prompt: text::tokens(&ask.prompt),
            status,
        });
    }
}
