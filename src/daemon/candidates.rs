use std::sync::Arc;
use std::time::Duration;

use super::state::{lock, takes_work, State};
use crate::error::{Error, Kind};
use crate::id::{TargetId, Tokens};
use crate::record::Fold;
use crate::remote::{Member, Role};
use crate::route::Candidate;
use crate::target::{Class, Load};

/// Targets that serve the model and may take new work, sorted by id.
pub(super) fn candidates(
    state: &Arc<State>,
    class: Class,
    model: &str,
) -> Result<Vec<Candidate>, Error> {
    let serves = |member: &Member| member.model.as_deref() == Some(model);
    pool(state, class, Role::Engine, serves).unwrap_or_else(|| {
        let message = format!("no target serves the model `{model}`");
        Err(Error::new(Kind::UnknownModel, message))
    })
}

/// Targets of a plain service that may take new work, sorted by id.
pub(super) fn services(state: &Arc<State>, service: &str) -> Result<Vec<Candidate>, Error> {
    let serves = |member: &Member| member.service.as_deref() == Some(service);
    pool(state, Class::Short, Role::Service, serves).unwrap_or_else(|| {
        let message = format!("no target serves `{service}`");
        Err(Error::new(Kind::UnknownService, message))
    })
}

/// Targets of `role` that serve the request. `None` if none is listed; an error if none of them may take new work.
fn pool(
    state: &Arc<State>,
    class: Class,
    role: Role,
    serves: impl Fn(&Member) -> bool,
) -> Option<Result<Vec<Candidate>, Error>> {
    let (fold, listing) = (state.fold(), state.listing());
    let listed: Vec<&Member> = listing
        .instances
        .iter()
        .filter(|member| member.role == role && serves(member))
        .collect();
    if listed.is_empty() {
        return None;
    }
    let usable: Vec<&Member> = listed
        .into_iter()
        .filter(|member| takes_work(&fold, member))
        .collect();
    if usable.is_empty() {
        let message = "every matching target is out of service or leaving";
        return Some(Err(Error::new(Kind::Unavailable, message)));
    }
    Some(Ok(describe(state, &fold, class, &usable)))
}

fn describe(state: &Arc<State>, fold: &Fold, class: Class, members: &[&Member]) -> Vec<Candidate> {
    let now = state.clock.now();
    let settings = state.settings.queue.target();
    let pool: Vec<TargetId> = members.iter().map(|member| member.id.clone()).collect();
    let ejected = lock(&state.outliers).ejected_among(&pool, now);
    members
        .iter()
        .map(|member| Candidate {
            domain: member.domain.clone(),
            ejected: ejected.contains(&member.id),
            load: load(state, member, now),
            memory: settings.capacity(class, memory(fold, member).unwrap_or(settings.memory)),
            target: member.id.clone(),
        })
        .collect()
}

/// The load of a target: exact if this instance dispatches to it, else from the last report.
fn load(state: &Arc<State>, member: &Member, now: Duration) -> Option<Load> {
    if dispatches(state, member, now) {
        if let Some(queue) = state.existing_queue(&member.id) {
            return Some(queue.load(now));
        }
    }
    lock(&state.loads).get(&member.id, now)
}

/// Whether this instance dispatches to the target; with ownership it never does so in another domain.
fn dispatches(state: &Arc<State>, member: &Member, now: Duration) -> bool {
    if !state.uses_ownership() {
        return true;
    }
    member.domain == state.settings.domain && lock(&state.ownership).may_dispatch(&member.id, now)
}

fn memory(fold: &Fold, member: &Member) -> Option<Tokens> {
    fold.target(&member.id).and_then(|record| record.memory)
}
