use serde::Serialize;

use super::state::{lock, State};
use crate::id::{DomainId, InstanceId, Offset, TargetId, Tokens};

/// Status of an instance, as reported to operators.
#[derive(Debug, Serialize)]
pub(super) struct Status {
    alarms: Vec<String>,
    controller: bool,
    domain: DomainId,
    in_service: bool,
    incarnation: String,
    instance: InstanceId,
    leaving: bool,
    offset: Offset,
    peers: Vec<Peer>,
    ready: bool,
    requests: usize,
    targets: Vec<Target>,
}

#[derive(Debug, Serialize)]
struct Peer {
    age_ms: u64,
    instance: InstanceId,
}

#[derive(Debug, Serialize)]
struct Target {
    domain: DomainId,
    free_tokens: Tokens,
    owner: Option<InstanceId>,
    queued: u32,
    running: u32,
    state: String,
    target: TargetId,
}

/// Reports the status of this instance and of the targets that it owns.
pub(super) fn status(state: &State) -> Status {
    let now = state.clock.now();
    let fold = state.fold();
    let peers = lock(&state.ownership).heartbeat_ages(now);
    Status {
        alarms: state.alarm().into_iter().collect(),
        controller: state.is_controller(),
        domain: state.settings.domain.clone(),
        in_service: fold.domain_in_service(&state.settings.domain),
        incarnation: format!("{:016x}", state.incarnation),
        instance: state.settings.instance.clone(),
        leaving: state.is_leaving(),
        offset: fold.offset(),
        peers: peers
            .into_iter()
            .map(|(instance, age)| Peer {
                age_ms: age.as_millis() as u64,
                instance,
            })
            .collect(),
        ready: state.is_ready(),
        requests: state.active(),
        targets: targets(state),
    }
}

fn targets(state: &State) -> Vec<Target> {
    let now = state.clock.now();
    let owned: Vec<TargetId> = {
        let ownership = lock(&state.ownership);
        let targets = state.targets().into_iter();
        targets
            .filter(|target| ownership.may_dispatch(target, now))
            .collect()
    };
    owned
        .into_iter()
        .map(|target| {
            let load = state.queue(&target).load(now);
            Target {
                domain: state.settings.domain.clone(),
                free_tokens: load.free,
                owner: Some(state.settings.instance.clone()),
                queued: load.queued,
                running: load.running,
                state: load.state.name().to_owned(),
                target,
            }
        })
        .collect()
}
