use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use jujubehook_http::with_timeout;
use smol::{Task, Timer};

use crate::daemon::state::{lock, State};
use crate::event;
use crate::id::{Fence, TargetId};
use crate::metric::Channel;
use crate::order::{Action, Controller, Lease, Model, Plan, Settings};
use crate::record::Body;
use crate::remote::{Engine, Log, Member, Role, Settings as LogSettings};

/// Time between two ticks of the controller state.
const TICK: Duration = Duration::from_millis(100);

/// Time for which the log holds a read open until there are new entries.
const POLL_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Most entries of one read.
const PAGE_ENTRIES: usize = 256;

/// Takes part in the election of the domain's controller and, while elected, sends orders to engines.
///
/// Reads and appends nothing until a target record asks for a load.
pub(crate) async fn run(state: Arc<State>) {
    let settings = settings(&state);
    let controller = Arc::new(Mutex::new(Controller::new(
        state.settings.instance.clone(),
        state.incarnation,
        settings.clone(),
        state.clock.now(),
    )));
    let log = Arc::new(
        Log::new(state.settings.network.log, LogSettings::default())
            .metered(state.metrics.traffic(Channel::Log).clone()),
    );
    let stream = format!("control-{}", state.settings.domain);
    let mut reader: Option<Task<()>> = None;
    let mut fence = None;
    loop {
        Timer::after(TICK).await;
        let plans = plans(&state);
        if plans.is_empty() && reader.is_none() {
            continue;
        }
        if reader.is_none() {
            let weak = Arc::downgrade(&state);
            let follow = follow(weak, controller.clone(), log.clone(), stream.clone());
            reader = Some(smol::spawn(follow));
        }
        let (now, unix) = (state.clock.now(), state.clock.unix_ms());
        let actions = {
            let mut controller = lock(&controller);
            controller.set_plans(plans);
            let actions = controller.tick(now, unix);
            report_term(&state, &mut fence, controller.fence());
            actions
        };
        for action in actions {
            act(&state, &controller, &log, &stream, &settings, action);
        }
    }
}

fn settings(state: &State) -> Settings {
    let network = &state.settings.network;
    let default = Settings::default();
    Settings {
        delay: network.controller_delay,
        lease: network.controller_lease,
        margin: default.margin.min(network.controller_lease / 10),
        pause: network.pause.min(network.controller_lease / 4),
        ..default
    }
}

/// What the records in force want engines of this domain to load.
fn plans(state: &State) -> Vec<Plan> {
    let fold = state.fold();
    let listing = state.listing();
    let mut plans = Vec::new();
    // Iterates over the records, since few of the listed targets have one and this runs ten times per second.
    for record in fold.records() {
        let Body::Target(record) = &record.body else {
            continue;
        };
        let Some(load) = &record.load else {
            continue;
        };
        let is_own =
            |member: &Member| member.role == Role::Engine && member.domain == state.settings.domain;
        if listing.member(&record.name).is_some_and(is_own) {
            plans.push(Plan {
                checks_fencing: record.checks_fencing,
                load: load.clone(),
                target: record.name.clone(),
            });
        }
    }
    plans
}

/// Reports the start or end of this instance's term as controller.
fn report_term(state: &State, before: &mut Option<Fence>, fence: Option<Fence>) {
    if *before == fence {
        return;
    }
    *before = fence;
    state.set_controller(fence.is_some());
    match fence {
        Some(fence) => event!(state.source, "controller_elected", fence = fence),
        None => event!(state.source, "controller_ended"),
    }
}

/// Reads the leases from the log and applies them to the controller state.
async fn follow(
    state: Weak<State>,
    controller: Arc<Mutex<Controller>>,
    log: Arc<Log>,
    stream: String,
) {
    let mut next = 1;
    loop {
        let page = log.read(&stream, next, PAGE_ENTRIES, POLL_TIMEOUT).await;
        let Some(state) = state.upgrade() else {
            return;
        };
        let Ok(page) = page else {
            drop(state);
            Timer::after(RETRY_PAUSE).await;
            continue;
        };
        for entry in &page.entries {
            // Every instance skips entries that are not leases, so all agree on the holder.
            if let Ok(lease) = serde_json::from_str::<Lease>(&entry.body) {
                lock(&controller).apply(entry.offset, &lease, state.clock.now());
            }
        }
        next = page.next.max(page.first);
    }
}

/// Carries out an action of the controller.
fn act(
    state: &Arc<State>,
    controller: &Arc<Mutex<Controller>>,
    log: &Arc<Log>,
    stream: &str,
    settings: &Settings,
    action: Action,
) {
    match action {
        Action::Append { lease } => {
            let (log, stream) = (log.clone(), stream.to_owned());
            smol::spawn(async move {
                if let Ok(entry) = serde_json::to_string(&lease) {
                    // A later tick repeats a claim or renewal that fails.
                    let _ = log.append(&stream, &entry).await;
                }
            })
            .detach();
        }
        Action::Order {
            fence,
            load,
            target,
        } => {
            let (state, controller) = (state.clone(), controller.clone());
            let limit = settings.delay;
            smol::spawn(async move {
                order(&state, &controller, fence, &load, &target, limit).await;
            })
            .detach();
        }
        Action::Read { target } => {
            let (state, controller) = (state.clone(), controller.clone());
            smol::spawn(async move { observe(&state, &controller, &target).await }).detach();
        }
    }
}

/// Sends an order to an engine, if the lease is still valid.
async fn order(
    state: &Arc<State>,
    controller: &Mutex<Controller>,
    fence: Fence,
    load: &Model,
    target: &TargetId,
    limit: Duration,
) {
    let checks = state
        .fold()
        .target(target)
        .is_some_and(|record| record.checks_fencing);
    let Ok(address) = state.address(target) else {
        return;
    };
    if !lock(controller).may_order(checks, state.clock.now()) {
        return;
    }
    let engine = Engine::new(&state.client, address);
    let outcome = with_timeout(limit, engine.order(fence, load)).await;
    event!(
        state.source,
        "target_ordered",
        target = target.as_str(),
        fence = fence,
        model = load.model.as_str(),
        version = load.version.as_str(),
        outcome = if outcome.is_ok() { "ok" } else { "failed" },
        reason = outcome
            .err()
            .map(|error| error.to_string())
            .unwrap_or_default()
    );
}

/// Reads what an engine has loaded.
async fn observe(state: &Arc<State>, controller: &Mutex<Controller>, target: &TargetId) {
    let Ok(address) = state.address(target) else {
        return;
    };
    let engine = Engine::new(&state.client, address);
    if let Ok(loaded) = engine.loaded().await {
        lock(controller).observe(target, loaded, state.clock.now());
    }
}
