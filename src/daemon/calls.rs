use std::sync::Arc;
use std::time::Duration;

use smol::Timer;

use super::candidates::services;
use super::serve;
use super::state::{lock, random_id, State};
use crate::error::{Error, Executed, Kind};
use crate::event;
use crate::event::hex;
use crate::id::tokens;
use crate::route::Requirements;
use crate::target::Class;
use crate::wire::{Call, Reply};

/// Attempts for one call, not counting those that found the target moved; no target is likely to take it after them.
const ATTEMPT_LIMIT: u32 = 64;

/// Pause before targets that failed are tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Sends a call to a target, and to others after failures while a retry is safe.
///
/// `check` runs immediately before each attempt; its error ends the call.
pub(super) async fn dispatch(
    state: &Arc<State>,
    call: Call,
    check: impl Fn() -> Result<(), Error>,
) -> Result<Reply, Error> {
    let mut reached = false;
    let outcome = try_targets(state, call, check, &mut reached).await;
    if reached {
        return outcome.map_err(Error::after_attempt);
    }
    outcome
}

/// Tries targets until one answers. Sets `reached` once an attempt may have reached a target.
async fn try_targets(
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
        let requirements = requirements(state, &call, &tried);
        let Some(index) = lock(&state.policy).choose(&requirements, &pool, now) else {
            tried.clear();
            Timer::after(RETRY_PAUSE.min(left)).await;
            continue;
        };
        check()?;
        let target = pool[index].target.clone();
        call.attempt = random_id();
        call.deadline_ms = left.as_millis() as u64;
        call.target = Some(target.clone());
        let error = match serve::call(state, call.clone()).await {
            Ok(reply) => return Ok(reply),
            Err(error) => error,
        };
        *reached |= error.kind().executed() == Executed::Unknown;
        if !may_retry(state, &call, &error) {
            return Err(error);
        }
        // Not counted if the target moved: it has a new owner within a lease.
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

fn may_retry(state: &State, call: &Call, error: &Error) -> bool {
    let kind = error.kind();
    let unsent = kind.executed() == Executed::No && kind.retriable();
    let repeatable = call.key.is_none() && kind == Kind::UpstreamFailed;
    if kind == Kind::Moved {
        return true;
    }
    (unsent || repeatable) && lock(&state.budget).try_spend()
}

fn requirements(state: &State, call: &Call, tried: &[String]) -> Requirements {
    Requirements {
        class: Class::Short,
        domain: state.settings.domain.clone(),
        max_tokens: 0,
        prefix: Vec::new(),
        prompt: tokens(call.body.len()),
        tried: tried.to_vec(),
    }
}
