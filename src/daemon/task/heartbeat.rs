use std::sync::Arc;
use std::time::Duration;

use smol::net::UdpSocket;
use smol::Timer;

use super::tag;
use crate::daemon::client;
use crate::daemon::state::{lock, State};
use crate::event;
use crate::metric::Channel;
use crate::owner::{Acquire, Action, Grant, Heartbeat};

/// Time between two ticks of the ownership table.
const TICK: Duration = Duration::from_millis(100);

/// Longest accepted datagram in bytes; a heartbeat has about 100.
const DATAGRAM_LIMIT: usize = 1024;

/// Time limit for a peer's answer to a request for grants.
const ACQUIRE_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a failed receive, so that a persistent failure does not busy-loop.
const RECEIVE_PAUSE: Duration = Duration::from_millis(50);

/// Sends heartbeats to all other instances of the own domain.
pub(crate) async fn send(state: Arc<State>, socket: UdpSocket) {
    let traffic = state.metrics.traffic(Channel::Heartbeat);
    loop {
        for peer in state.peers() {
            let heartbeat = {
                let now = state.clock.now();
                let mut ownership = lock(&state.ownership);
                ownership.set_offset(state.fold().offset());
                Heartbeat {
                    time: state.clock.tick(),
                    ..ownership.next_heartbeat(&peer.id, now)
                }
            };
            // Fields are encoded by position: names would make the datagram three times as long.
            let bytes = rmp_serde::to_vec(&heartbeat).unwrap_or_default();
            let datagram = tag::seal(state.settings.peer_key.as_bytes(), bytes);
            if socket.send_to(&datagram, peer.address).await.is_ok() {
                traffic.add_sent(datagram.len());
            }
        }
        let now = state.clock.now();
        let ages = lock(&state.ownership).heartbeat_ages(now);
        state
            .metrics
            .observe_heartbeat_ages(ages.into_iter().map(|(_, age)| age));
        Timer::after(state.settings.network.heartbeat).await;
    }
}

/// Receives heartbeats and applies them to the ownership table.
pub(crate) async fn receive(state: Arc<State>, socket: UdpSocket) {
    let mut buffer = [0; DATAGRAM_LIMIT];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            Timer::after(RECEIVE_PAUSE).await;
            continue;
        };
        state
            .metrics
            .traffic(Channel::Heartbeat)
            .add_received(length);
        let key = state.settings.peer_key.as_bytes();
        let Some(message) = tag::open(key, &buffer[..length]) else {
            continue;
        };
        let Ok(heartbeat) = rmp_serde::from_slice::<Heartbeat>(message) else {
            continue;
        };
        state.clock.merge(heartbeat.time);
        let now = state.clock.now();
        let actions = lock(&state.ownership).receive_heartbeat(&heartbeat, now);
        act(&state, actions);
    }
}

/// Drives the timers of the ownership table.
pub(crate) async fn tick(state: Arc<State>) {
    loop {
        let now = state.clock.now();
        let actions = lock(&state.ownership).tick(now);
        act(&state, actions);
        Timer::after(TICK).await;
    }
}

/// Answers a peer's request for grants.
pub(crate) fn acquire(state: &Arc<State>, message: &Acquire) -> Grant {
    let now = state.clock.now();
    let in_flight = |target: &String| {
        state
            .existing_queue(target)
            .map_or(0, |queue| queue.load(now).running)
    };
    let (grant, actions) = lock(&state.ownership).answer_acquire(message, in_flight, now);
    act(state, actions);
    grant
}

/// Carries out the actions of the ownership table.
pub(crate) fn act(state: &Arc<State>, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Acquire { message, to } => request_grants(state, message, to),
            Action::Gained {
                in_flight,
                planned,
                target,
            } => handle_gain(state, &target, planned, in_flight),
            Action::Lost { target } => handle_loss(state, &target),
        }
    }
}

fn request_grants(state: &Arc<State>, message: Acquire, to: String) {
    let state = state.clone();
    smol::spawn(async move {
        let Some(peer) = state.listing().member(&to).cloned() else {
            return;
        };
        let call = client::call::<Grant>(&state, &peer, "/peer/acquire", &message, ACQUIRE_TIMEOUT);
        if let Ok(grant) = call.await {
            let now = state.clock.now();
            let actions = lock(&state.ownership).receive_grant(&grant, now);
            act(&state, actions);
        }
    })
    .detach();
}

fn handle_gain(state: &Arc<State>, target: &String, planned: bool, in_flight: u32) {
    event!(
        state.source,
        "target_gained",
        target = target.as_str(),
        planned = planned,
        in_flight = in_flight
    );
    let queue = state.queue(target);
    queue.set_inspected(false);
    queue.update(state, |scheduler, now| {
        scheduler.mark_cold(now);
        scheduler.set_foreign_load(in_flight, 0, now);
    });
    // Nothing is dispatched until the target's streams have been read.
    let state = state.clone();
    let target = target.clone();
    smol::spawn(async move { super::reap::open_queue(&state, &target).await }).detach();
}

fn handle_loss(state: &Arc<State>, target: &String) {
    let moved = match state.existing_queue(target) {
        Some(queue) => {
            queue.set_inspected(false);
            queue.forget_holds();
            queue.evict(state)
        }
        None => 0,
    };
    event!(
        state.source,
        "target_lost",
        target = target.as_str(),
        moved = moved
    );
}
