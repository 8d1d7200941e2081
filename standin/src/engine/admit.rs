//! Admission of requests.

use crate::clock::unix_ms;
use crate::engine::chain::Chain;
use crate::engine::report::Received;
use crate::engine::state::State;
use crate::engine::stream::{Completion, Phase, Stream};
use crate::request::{refuse, Refusal};
use crate::signal::Signal;
use crate::text;

/// Newest requests that the statistics list.
const REQUEST_LIMIT: usize = 10_000;

/// What became of a request that passed the checks.
pub(super) enum Admission {
    /// Its stream waits for prefill.
    Accepted,
    /// The engine crashed under its load, or before it was admitted.
    Crashed,
}

impl State {
    /// Hash state after the text of a context, each handle of which must continue the one before it.
    pub(super) fn context_hash(&self, context: &[String]) -> Result<u64, Refusal> {
        let mut state = text::empty_hash();
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

    /// Admits a request, whose prompt has been hashed into `chain`, and opens its stream.
    pub(super) fn open(&mut self, request: Completion, chain: Chain) -> Result<Admission, Refusal> {
        let checked = self.check(&request, &chain);
        let status = checked
            .as_ref()
            .map_or_else(|refusal| refusal.status, |()| 200);
        self.record_request(&request, status);
        checked.inspect_err(|_| self.refused += 1)?;
        self.evict_for(text::token_count(&request.prompt).saturating_add(request.max_tokens));
        self.insert_stream(request, chain);
        if self.warmth.check_load(self.streams.len()) {
            self.crash();
            return Ok(Admission::Crashed);
        }
        self.report_load();
        Ok(Admission::Accepted)
    }

    /// Checks whether a request can be admitted. Its context may have changed while the prompt was hashed.
    fn check(&self, request: &Completion, chain: &Chain) -> Result<(), Refusal> {
        if request.model != self.orders.loaded.model {
            return Err(refuse(
                404,
                format!("model `{}` is not loaded", request.model),
            ));
        }
        if self.find_stream(&request.attempt).is_ok() {
            return Err(refuse(
                409,
                format!("attempt `{}` is running", request.attempt),
            ));
        }
        self.check_handle(request)?;
        let need = text::token_count(&request.prompt).saturating_add(request.max_tokens);
        let held = self.reserved_tokens() + self.handle_tokens();
        if need > self.settings.memory.saturating_sub(held) {
            return Err(refuse(429, format!("no memory for {need} tokens")));
        }
        if self.context_hash(&request.context)? != chain.base {
            return Err(refuse(409, "the context has changed"));
        }
        Ok(())
    }

    /// Checks the name of the handle to write: it must be unused, or that of the local handle at the end of the
    /// context, which is then extended.
    fn check_handle(&self, request: &Completion) -> Result<(), Refusal> {
        let Some(name) = &request.handle else {
            return Ok(());
        };
        let is_writing =
            |stream: &Stream| stream.handle.as_ref() == Some(name) && stream.phase != Phase::Decode;
        if self.streams.iter().any(is_writing) {
            return Err(refuse(409, format!("handle `{name}` is being written")));
        }
        match self.find_handle(name) {
            Ok(index) if self.handles[index].remote || request.context.last() != Some(name) => {
                Err(refuse(409, format!("handle `{name}` exists")))
            }
            Ok(_) | Err(_) => Ok(()),
        }
    }

    fn insert_stream(&mut self, request: Completion, chain: Chain) {
        self.serial += 1;
        let prompt = text::token_count(&request.prompt);
        let stream = Stream {
            attempt: request.attempt,
            cached: 0,
            chain,
            context: request.context,
            departures: 0,
            first: request.resume,
            handle: request.handle,
            max_tokens: request.max_tokens,
            phase: Phase::Waiting,
            priority: request.priority,
            prompt,
            readers: 0,
            reserved: prompt + request.max_tokens,
            serial: self.serial,
            signal: Signal::default().into(),
            text: String::new(),
        };
        if let Err(index) = self.find_stream(&stream.attempt) {
            self.streams.insert(index, stream);
        }
    }

    fn record_request(&mut self, request: &Completion, status: u16) {
        if self.requests.len() == REQUEST_LIMIT {
            self.requests.pop_front();
        }
        self.requests.push_back(Received {
            at_ms: unix_ms(),
            attempt: request.attempt.clone(),
            handle: request.handle.clone(),
            prompt: text::token_count(&request.prompt),
            status,
        });
    }
}
