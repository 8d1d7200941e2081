use std::sync::Arc;
use std::time::Duration;

use smol::Timer;

use super::candidates::services;
use super::serve;
use super::state::{lock, unguessable, State};
use crate::error::{Error, Executed, Kind};
use crate::event;
use crate::event::hex;
use crate::id::tokens;
use crate::route::Requirements;
use crate::target::Class;
use crate::wire::{Call, Reply};

/// Attempts for one call that did not end with a moved target; more of them mean that no target can take it.
const ATTEMPT_LIMIT: u32 = 64;

/// Wait before targets that were tried are tried again.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);

/// Chooses a target for a call and repeats it elsewhere while that is safe.
///
/// `check` is asked immediately before each attempt.
pub(super) async fn dispatch(
    state: &Arc<State>,
    call: Call,
    check: impl Fn() -> Result<(), Error>,
) -> Result<Reply, Error> {
    let mut reached = false;
    let outcome = repeat(state, call, check, &mut reached).await;
    if reached {
        return outcome.map_err(Error::after_attempt);
    }
    outcome
}

/// Sets `reached` once an attempt may have reached a target.
async fn repeat(
    state: &Arc<State>,
    mut call: Call,
    check: impl Fn() -> Result<(), Error>,
    reached: &mut bool,
) -> Result<Reply, Error> {
    let deadline = state.clock.now() + Duration::from_millis(call.deadline_ms);
    let mut tried = Vec::new();
    lock(&state.budget).record_attempt();
    let mut attempts = 0;
    while attempts < ATTEMPT_LIMIT {
        let now = state.clock.now();
        let left = deadline.saturating_sub(now);
        if left.is_zero() {
            let message = "the deadline passed before a target took the call";
            return Err(Error::new(Kind::DeadlineRefused, message));
        }
        let pool = services(state, &call.service)?;
        let ask = ask(state, &call, &tried);
        let Some(index) = lock(&state.policy).choose(&ask, &pool, now) else {
            tried.clear();
            Timer::after(REPEAT_PAUSE.min(left)).await;
            continue;
        };
        check()?;
        let target = pool[index].target.clone();
        call.attempt = unguessable();
        call.deadline_ms = left.as_millis() as u64;
        call.target = Some(target.clone());
        let error = match serve::call(state, call.clone()).await {
            Ok(reply) => return Ok(reply),
            Err(error) => error,
        };
        *reached |= error.kind().executed() == Executed::Unknown;
        if !may_repeat(state, &call, &error) {
            return Err(error);
        }
        // A moved target gets an owner within a lease.
        attempts += u32::from(error.kind() != Kind::Moved);
        event!(
            state.source,
            "retry",
            request = hex(call.request),
            target = target.as_str(),
            kind = error.kind().name()
        );
        state.metrics.count_retry();
        if let Err(index) = tried.binary_search(&target) {
            tried.insert(index, target);
        }
    }
    let message = "no target took the call";
    Err(Error::new(Kind::Unavailable, message))
}

fn may_repeat(state: &State, call: &Call, error: &Error) -> bool {
    let kind = error.kind();
    let unsent = kind.executed() == Executed::No && kind.retriable();
    let repeatable = call.key.is_none() && kind == Kind::UpstreamFailed;
    if kind == Kind::Moved {
        return true;
    }
    (unsent || repeatable) && lock(&state.budget).try_spend()
}

fn ask(state: &State, call: &Call, tried: &[String]) -> Requirements {
    Requirements {
        class: Class::Short,
        domain: state.settings.domain.clone(),
        max_tokens: 0,
        prefix: Vec::new(),
        prompt: tokens(call.body.len()),
        tried: tried.to_vec(),
    }
}
