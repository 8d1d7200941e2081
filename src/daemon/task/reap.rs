use std::sync::Arc;
use std::time::Duration;

use smol::Timer;

use crate::daemon::client;
use crate::daemon::serve::Queue;
use crate::daemon::state::{lock, State};
use crate::event;
use crate::event::hex;
use crate::id::{AttemptId, TargetId};
use crate::remote::{cached_blocks, Engine, Role, Usage};

/// Time limit for a peer's answer about the handles that it uses.
const USED_HANDLES_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before a failed first reading of a target is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Periodically reads the streams and handles of owned targets and drops handles that no instance uses.
pub(crate) async fn run(state: Arc<State>) {
    loop {
        Timer::after(state.settings.network.reap).await;
        for target in owned(&state) {
            let state = state.clone();
            smol::spawn(async move { inspect(&state, &target).await.is_some() }).detach();
        }
    }
}

/// Reads the streams of a target that this instance has just become the owner of, then opens its queue for dispatch.
///
/// Retries until the target has been read or has another owner, also if the target is not listed for a moment or a
/// reading fails while heartbeat echoes of peers are late. Nothing else opens the queue, so its requests would wait
/// until their deadlines.
pub(crate) async fn open_queue(state: &Arc<State>, target: &TargetId) {
    while is_owner(state, target) {
        let inspected = match state.listing().member(target).map(|member| member.role) {
            Some(Role::Engine) => inspect(state, target).await.is_some(),
            Some(Role::Service) => true,
            Some(Role::Instance) | None => false,
        };
        // The target may have got another owner meanwhile.
        if inspected && is_owner(state, target) {
            let queue = state.queue(target);
            queue.set_inspected(true);
            queue.dispatch_ready(state);
            load_cached_blocks(state, target).await;
            return;
        }
        Timer::after(RETRY_PAUSE).await;
    }
}

fn is_owner(state: &State, target: &TargetId) -> bool {
    let owner = lock(&state.ownership).owner(target, state.clock.now());
    owner.as_deref() == Some(state.source.instance())
}

/// Reads the streams and handles of a target, updates its foreign load and drops unused handles. `None` on failure.
async fn inspect(state: &Arc<State>, target: &TargetId) -> Option<()> {
    let address = state.address(target).ok()?;
    let engine = Engine::new(&state.client, address);
    let usage = engine.usage().await.ok()?;
    let queue = state.queue(target);
    update_foreign_load(state, &queue, &usage);
    let handles: Vec<AttemptId> = usage
        .handles
        .iter()
        .filter_map(|handle| parse_id(&handle.handle))
        .collect();
    let orphans = queue.orphans(&handles);
    if !orphans.is_empty() {
        release(state, target, &engine, orphans).await;
    }
    Some(())
}

/// Reads which prompt blocks a newly owned target has cached. From then on the owner tracks what it sends there itself:
/// reading every cache event would exceed the budget for control traffic.
async fn load_cached_blocks(state: &Arc<State>, target: &TargetId) {
    let Ok(address) = state.address(target) else {
        return;
    };
    let engine = Engine::new(&state.client, address);
    if let Ok(changes) = engine.events().await {
        let blocks = cached_blocks(&changes);
        let queue = state.queue(target);
        queue.update(state, |scheduler, now| {
            scheduler.update_cache(&blocks, &[], now)
        });
    }
}

/// Sets the foreign load of a target: its streams and handles that were not opened here.
fn update_foreign_load(state: &Arc<State>, queue: &Queue, usage: &Usage) {
    let foreign = usage
        .streams
        .iter()
        .filter(|stream| !parse_id(&stream.attempt).is_some_and(|attempt| queue.uses(attempt)));
    let (mut count, mut memory) = (0, 0);
    for stream in foreign {
        count += 1;
        memory += stream.tokens;
    }
    let held: u64 = usage
        .handles
        .iter()
        .filter(|handle| !parse_id(&handle.handle).is_some_and(|handle| queue.uses(handle)))
        .map(|handle| handle.tokens)
        .sum();
    queue.update(state, |scheduler, now| {
        scheduler.observe_boot(usage.boot, now);
        scheduler.report_cold(usage.cold, now);
        scheduler.set_foreign_load(count, memory + held, now);
    });
}

/// Drops those of the handles that no other instance of the domain uses.
async fn release(
    state: &Arc<State>,
    target: &TargetId,
    engine: &Engine<'_>,
    mut orphans: Vec<AttemptId>,
) {
    let live = lock(&state.ownership).live(state.clock.now());
    let listing = state.listing();
    for peer in live.iter().filter_map(|id| listing.member(id)) {
        let call = client::call::<Vec<AttemptId>>(
            state,
            peer,
            "/peer/claims",
            &orphans,
            USED_HANDLES_TIMEOUT,
        );
        match call.await {
            Ok(used) => orphans.retain(|handle| !used.contains(handle)),
            // A live peer that does not answer may still use any of them.
            Err(_) => return,
        }
    }
    for handle in orphans {
        event!(
            state.source,
            "handle_reaped",
            target = target.as_str(),
            handle = hex(handle)
        );
        let _ = engine.drop_handle(handle).await;
    }
}

fn owned(state: &State) -> Vec<TargetId> {
    let listing = state.listing();
    let now = state.clock.now();
    let ownership = lock(&state.ownership);
    listing
        .instances
        .iter()
        .filter(|member| member.role == Role::Engine)
        .filter(|member| ownership.may_dispatch(&member.id, now))
        .map(|member| member.id.clone())
        .collect()
}

fn parse_id(id: &str) -> Option<AttemptId> {
    AttemptId::from_str_radix(id, 16).ok()
}
