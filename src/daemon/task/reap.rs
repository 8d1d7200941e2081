use std::sync::Arc;
use std::time::Duration;

use smol::Timer;

use crate::daemon::client;
use crate::daemon::serve::Slot;
use crate::daemon::state::{lock, State};
use crate::event;
use crate::event::hex;
use crate::id::{AttemptId, TargetId};
use crate::remote::{cached_blocks, Engine, Role, Usage};

/// Longest wait for a peer's answer about handles.
const CLAIMS_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before an unanswered first reading of a target is repeated.
const CHECK_PAUSE: Duration = Duration::from_millis(200);

/// Reads streams and handles of owned targets and releases what nobody claims.
pub(crate) async fn run(state: Arc<State>) {
    loop {
        Timer::after(state.settings.network.reap).await;
        for target in owned(&state) {
            let state = state.clone();
            smol::spawn(async move { read(&state, &target).await.is_some() }).detach();
        }
    }
}

/// Reads the streams of a target that was just gained, then opens its queue.
///
/// Goes on until the target is read or has another owner. A target that is not listed for a moment, or a reading that
/// fails while peers' echoes are late, is no reason to stop: nothing else would open the queue, and its requests would
/// wait until their deadlines.
pub(crate) async fn check(state: &Arc<State>, target: &TargetId) {
    while is_owner(state, target) {
        let read = match state.listing().member(target).map(|member| member.role) {
            Some(Role::Engine) => read(state, target).await.is_some(),
            Some(Role::Service) => true,
            Some(Role::Instance) | None => false,
        };
        // The target may have been lost while it was read.
        if read && is_owner(state, target) {
            let slot = state.slot(target);
            slot.set_checked(true);
            slot.pump(state);
            learn(state, target).await;
            return;
        }
        Timer::after(CHECK_PAUSE).await;
    }
}

fn is_owner(state: &State, target: &TargetId) -> bool {
    let owner = lock(&state.owner).owner(target, state.clock.now());
    owner.as_deref() == Some(state.source.instance())
}

async fn read(state: &Arc<State>, target: &TargetId) -> Option<()> {
    let address = state.address(target).ok()?;
    let engine = Engine::new(&state.client, address);
    let usage = engine.usage().await.ok()?;
    let slot = state.slot(target);
    account(state, &slot, &usage);
    let handles: Vec<AttemptId> = usage
        .handles
        .iter()
        .filter_map(|handle| parse(&handle.handle))
        .collect();
    let orphans = slot.orphans(&handles);
    if !orphans.is_empty() {
        release(state, target, &engine, orphans).await;
    }
    Some(())
}

/// Learns what a target that was just gained has cached. From then on this owner knows what it sends there, and reading
/// every event would cost more than the control budget allows.
async fn learn(state: &Arc<State>, target: &TargetId) {
    let Ok(address) = state.address(target) else {
        return;
    };
    let engine = Engine::new(&state.client, address);
    if let Ok(changes) = engine.events().await {
        let blocks = cached_blocks(&changes);
        let slot = state.slot(target);
        slot.update(state, |scheduler, now| {
            scheduler.update_cache(&blocks, &[], now)
        });
    }
}

/// Counts streams that were not opened here as foreign load.
fn account(state: &Arc<State>, slot: &Slot, usage: &Usage) {
    let foreign = usage
        .streams
        .iter()
        .filter(|stream| !parse(&stream.attempt).is_some_and(|attempt| slot.claims(attempt)));
    let (mut count, mut memory) = (0, 0);
    for stream in foreign {
        count += 1;
        memory += stream.tokens;
    }
    let held: u64 = usage
        .handles
        .iter()
        .filter(|handle| !parse(&handle.handle).is_some_and(|handle| slot.claims(handle)))
        .map(|handle| handle.tokens)
        .sum();
    slot.update(state, |scheduler, now| {
        scheduler.observe_boot(usage.boot, now);
        scheduler.report_cold(usage.cold, now);
        scheduler.set_foreign_load(count, memory + held, now);
    });
}

/// Releases the handles that no instance of the domain claims either.
async fn release(
    state: &Arc<State>,
    target: &TargetId,
    engine: &Engine<'_>,
    mut orphans: Vec<AttemptId>,
) {
    let live = lock(&state.owner).live(state.clock.now());
    let listing = state.listing();
    for peer in live.iter().filter_map(|id| listing.member(id)) {
        let call =
            client::call::<Vec<AttemptId>>(state, peer, "/peer/claims", &orphans, CLAIMS_TIMEOUT);
        match call.await {
            Ok(claimed) => orphans.retain(|handle| !claimed.contains(handle)),
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
    let owner = lock(&state.owner);
    listing
        .instances
        .iter()
        .filter(|member| member.role == Role::Engine)
        .filter(|member| owner.may_dispatch(&member.id, now))
        .map(|member| member.id.clone())
        .collect()
}

fn parse(id: &str) -> Option<AttemptId> {
    AttemptId::from_str_radix(id, 16).ok()
}
