//! At-most-once calls: the instance that runs each of them and the claims of their idempotency keys.

mod memory;
mod partition;
mod store;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use smol::Timer;

use super::state::{lock, random_id, State};
use super::{calls, client};
use crate::claim::{self, Issuer, Key, Outcome, Step, PARTITIONS};
use crate::error::{Error, Executed, Kind};
use crate::event;
use crate::event::hex;
use crate::id::{Incarnation, InstanceId};
use crate::owner;
use crate::wire::{Call, Reply};
use memory::Memory;
use partition::Partition;
use store::Store;

/// Time between two checks of an undecided claim if no entry is read in between.
const POLL: Duration = Duration::from_millis(50);

/// Time on top of the deadline in which the other instance can still report that the deadline passed.
const FORWARD_GRACE: Duration = Duration::from_millis(500);

/// The claims that this instance decides: of the keys that it issued and of the log's partitions.
pub(crate) struct Claims {
    issuer: Arc<Mutex<Issuer>>,
    partitions: Vec<Arc<Partition>>,
    settings: claim::Settings,
}

impl Claims {
    pub(crate) fn new(instance: &InstanceId, incarnation: Incarnation) -> Self {
        let settings = claim::Settings::default();
        Self {
            issuer: Arc::new(Mutex::new(Issuer::new(
                instance.clone(),
                incarnation,
                settings,
            ))),
            partitions: (0..PARTITIONS)
                .map(|index| Arc::new(Partition::new(index, instance, incarnation, settings)))
                .collect(),
            settings,
        }
    }

    /// Issues a key whose calls only this process runs.
    pub(crate) fn issue(&self, now: u64) -> String {
        lock(&self.issuer).issue(random_id(), now)
    }
}

/// Runs a call at most once, here or at the instance that decides its claim.
pub(crate) async fn run(state: &Arc<State>, call: Call) -> Result<Reply, Error> {
    let Some(key) = call.key.clone() else {
        return Err(Error::new(Kind::BadRequest, "the call has no key"));
    };
    let now = state.clock.unix_ms();
    match Key::parse(&key, &state.claims.settings, now)? {
        Key::Caller { .. } => run_claimed(state, call, &key).await,
        Key::Issued { instance, .. } => run_issued(state, call, &key, &instance).await,
    }
}

/// Combines a key with its workspace, service and call. Equal keys of different workspaces or calls are different keys.
fn scoped(call: &Call, key: &str) -> String {
    let scope = format!("{}/{}/{}", call.workspace, call.service, call.name);
    claim::scoped(&scope, key)
}

async fn run_issued(
    state: &Arc<State>,
    call: Call,
    key: &str,
    instance: &InstanceId,
) -> Result<Reply, Error> {
    if *instance == state.settings.instance {
        let store = Memory::new(state.claims.issuer.clone());
        return run_here(state, call, key, &store).await;
    }
    if state.listing().member(instance).is_none() {
        let message = format!("`{instance}`, which issued the key, is not listed any more");
        return Err(Error::new(Kind::OutcomeUnknown, message));
    }
    forward(state, call, instance).await
}

async fn run_claimed(state: &Arc<State>, call: Call, key: &str) -> Result<Reply, Error> {
    let index = claim::partition(&scoped(&call, key));
    if call.hops == 0 {
        let claimer = claimer(state, index);
        if let Some(claimer) = claimer.filter(|claimer| *claimer != state.settings.instance) {
            match forward(state, call.clone(), &claimer).await {
                // The log's order decides claims, so any instance can stand in for one that cannot be reached.
                Err(error) if error.kind() == Kind::Unavailable => {}
                outcome => return outcome,
            }
        }
    }
    let partition = state.claims.partitions[index as usize].clone();
    partition.start(state);
    let store = partition::View::new(partition);
    run_here(state, call, key, &store).await
}

/// The instance of the own domain that decides the claims of a partition. It is one per domain, so that each domain
/// reads each stream only once.
fn claimer(state: &State, partition: u64) -> Option<InstanceId> {
    let mut live = lock(&state.ownership).live(state.clock.now());
    live.push(state.settings.instance.clone());
    live.sort_unstable();
    owner::candidate(&format!("claims-{partition}"), &live)
}

async fn forward(state: &Arc<State>, mut call: Call, to: &InstanceId) -> Result<Reply, Error> {
    let Some(peer) = state.listing().member(to).cloned() else {
        let message = format!("`{to}` is not listed any more");
        return Err(Error::new(Kind::Unavailable, message));
    };
    call.hops += 1;
    let limit = Duration::from_millis(call.deadline_ms) + FORWARD_GRACE;
    state.metrics.count_forward();
    let outcome = client::call(state, &peer, "/peer/once", &call, limit).await;
    outcome.map_err(|error| match error.kind() {
        Kind::UpstreamFailed => Error::new(Kind::OutcomeUnknown, error.message()),
        _ => error,
    })
}

async fn run_here(
    state: &Arc<State>,
    call: Call,
    key: &str,
    store: &dyn Store,
) -> Result<Reply, Error> {
    let key = scoped(&call, key);
    let nonce = random_id();
    let deadline = state.clock.now() + Duration::from_millis(call.deadline_ms);
    let mut step = store.begin(&key, nonce, state.clock.unix_ms());
    loop {
        match step {
            Step::Answer { outcome } => {
                state.metrics.count_claim("replayed");
                return Ok(reply(outcome));
            }
            Step::Append { .. } | Step::Wait => {
                if state.clock.now() >= deadline {
                    return Err(undecided(state, &key, nonce, store));
                }
                store.changed(POLL).await;
            }
            Step::Dispatch => {
                state.metrics.count_claim("won");
                return dispatch(state, call, &key, nonce, store).await;
            }
            Step::Refuse { kind } => return Err(refused(state, kind)),
        }
        step = store.poll(&key, nonce, state.clock.unix_ms());
    }
}

async fn dispatch(
    state: &Arc<State>,
    call: Call,
    key: &str,
    nonce: u64,
    store: &dyn Store,
) -> Result<Reply, Error> {
    let request = call.request;
    let settings = state.claims.settings;
    let sent = Mutex::new(None);
    let check = || {
        let now = state.clock.unix_ms();
        let mut sent = lock(&sent);
        match *sent {
            None => match store.dispatch(key, nonce, now) {
                Step::Dispatch => {
                    *sent = Some(now);
                    Ok(())
                }
                Step::Refuse { kind } => Err(refused(state, kind)),
                Step::Answer { .. } | Step::Append { .. } | Step::Wait => {
                    let message = "the call does not hold the claim of the key";
                    Err(Error::new(Kind::Unavailable, message))
                }
            },
            // The previous attempt was certainly not run. For another one the claim must still be valid.
            Some(first) if now < first + settings.validity_ms => Ok(()),
            Some(_) => Err(Error::new(
                Kind::Unavailable,
                "the claim of the key expired before a target took the call",
            )),
        }
    };
    let outcome = calls::dispatch(state, call, check).await;
    let now = state.clock.unix_ms();
    match &outcome {
        Ok(reply) => {
            let outcome = Outcome {
                body: reply.body.clone(),
                status: reply.status,
            };
            store.finish(key, nonce, Some(outcome), now);
        }
        Err(error) if error.kind().executed() == Executed::No => store.unsent(key, nonce, now),
        Err(_) => store.finish(key, nonce, None, now),
    }
    event!(
        state.source,
        "call_settled",
        request = hex(request),
        outcome = outcome
            .as_ref()
            .err()
            .map_or("ok", |error| error.kind().name())
    );
    outcome
}

/// Withdraws a call whose deadline passed before its claim was decided, and makes its error.
fn undecided(state: &State, key: &str, nonce: u64, store: &dyn Store) -> Error {
    let contested = store.is_contested(key, nonce);
    store.unsent(key, nonce, state.clock.unix_ms());
    if contested {
        // The call that holds the key may have run.
        return refused(state, Kind::OutcomeUnknown);
    }
    state.metrics.count_claim("lost");
    let message = "the claim of the key was not decided before the deadline";
    Error::new(Kind::DeadlineRefused, message)
}

/// Counts a refused claim and makes its error.
fn refused(state: &State, kind: Kind) -> Error {
    let (outcome, message) = match kind {
        Kind::KeyExpired => ("expired", "the key has expired"),
        Kind::OutcomeUnknown => (
            "unknown",
            "an earlier call with the key may have run, with an unknown outcome",
        ),
        Kind::Unavailable => ("refused", "the key cannot be claimed now"),
        _ => ("refused", "the key cannot be used"),
    };
    state.metrics.count_claim(outcome);
    Error::new(kind, message)
}

fn reply(outcome: Outcome) -> Reply {
    Reply {
        body: outcome.body,
        status: outcome.status,
    }
}

/// Waits up to `limit` for a message on `changed`.
async fn wait(changed: &async_channel::Receiver<()>, limit: Duration) {
    futures_lite::future::or(
        async {
            let _ = changed.recv().await;
        },
        async {
            Timer::after(limit).await;
        },
    )
    .await;
}
