use std::sync::Arc;
use std::time::Duration;

use smol::Timer;

use crate::daemon::client;
use crate::daemon::state::{lock, State};
use crate::error::Error;
use crate::event;
use crate::id::Offset;
use crate::record::{Fold, Verdict};
use crate::remote::Member;

/// Stream with the operators' records.
pub(crate) const CONFIG: &str = "config";

/// Stream with snapshots of the fold.
pub(crate) const SNAPSHOT: &str = "config-snapshot";

/// Entries read at a time.
const PAGE: usize = 256;

/// Time for which a read waits for new entries.
const POLL: Duration = Duration::from_secs(10);

/// Pause after a failed read, and between two looks at peers that are ahead.
const PAUSE: Duration = Duration::from_millis(250);

/// Longest wait for a peer's fold.
const FOLD_TIMEOUT: Duration = Duration::from_secs(2);

/// Entries between two snapshots; the log keeps at least as many.
const SNAPSHOT_INTERVAL: Offset = 512;

/// Follows the log and puts records into force.
pub(crate) async fn run(state: Arc<State>) {
    let mut failing = false;
    loop {
        match step(&state).await {
            Ok(()) => failing = false,
            Err(reason) => {
                if !failing {
                    event!(
                        warn,
                        state.source,
                        "log_unreachable",
                        reason = reason.as_str()
                    );
                }
                failing = true;
                Timer::after(PAUSE).await;
            }
        }
    }
}

/// Fetches the fold of a peer that is ahead, whether or not the log answers.
pub(crate) async fn catch_up(state: Arc<State>) {
    loop {
        Timer::after(PAUSE).await;
        if let Some(peer) = ahead(&state) {
            let _ = fetch(&state, &peer).await;
        }
    }
}

async fn step(state: &Arc<State>) -> Result<(), String> {
    let mut fold = (*state.fold()).clone();
    let from = fold.offset() + 1;
    let page = state
        .log
        .read(CONFIG, from, PAGE, POLL)
        .await
        .map_err(|error| error.to_string())?;
    if page.first > from {
        fold = restore(state, page.first).await?;
        return install(state, fold);
    }
    let mut fault = None;
    for entry in &page.entries {
        match fold.apply(entry.offset, &entry.body) {
            Ok(verdict) => report(state, entry.offset, &verdict),
            Err(error) => {
                fault = Some((entry.offset, error));
                break;
            }
        }
    }
    // The entries before one that cannot be read are in force.
    install(state, fold)?;
    match fault {
        Some((offset, error)) => Err(alarm(state, offset, &error)),
        None => Ok(()),
    }
}

fn install(state: &Arc<State>, fold: Fold) -> Result<(), String> {
    let before = state.fold().offset();
    let offset = fold.offset();
    if !state.set_fold(fold) {
        return Ok(());
    }
    state.metrics.set_record_offset(offset);
    if offset == before {
        return Ok(());
    }
    state.set_alarm(None);
    super::pump::enforce(state);
    if offset / SNAPSHOT_INTERVAL > before / SNAPSHOT_INTERVAL {
        publish(state);
    }
    Ok(())
}

/// Reads the newest snapshot that reaches at least up to the entry before `first`.
async fn restore(state: &Arc<State>, first: Offset) -> Result<Fold, String> {
    let mut best: Option<Fold> = None;
    let mut from = 1;
    loop {
        let page = state
            .log
            .read(SNAPSHOT, from, PAGE, Duration::ZERO)
            .await
            .map_err(|error| error.to_string())?;
        for entry in &page.entries {
            if let Ok(fold) = Fold::from_snapshot(entry.body.as_bytes()) {
                if best
                    .as_ref()
                    .is_none_or(|best| fold.offset() > best.offset())
                {
                    best = Some(fold);
                }
            }
        }
        if page.entries.is_empty() {
            break;
        }
        from = page.next;
    }
    best.filter(|fold| fold.offset() + 1 >= first)
        .ok_or_else(|| format!("entries before {first} are gone and no snapshot covers them"))
}

/// Appends a snapshot. Instances that race append the same bytes.
fn publish(state: &Arc<State>) {
    if !is_publisher(state) {
        return;
    }
    let state = state.clone();
    smol::spawn(async move {
        let bytes = state.fold().snapshot();
        let text = String::from_utf8_lossy(&bytes);
        if let Err(error) = state.log.append(SNAPSHOT, &text).await {
            event!(warn, state.source, "snapshot_failed", reason = %error);
        }
    })
    .detach();
}

/// One instance of each domain publishes, so that one that is cut off does not leave the log without snapshots.
fn is_publisher(state: &State) -> bool {
    let mut live = lock(&state.owner).live(state.clock.now());
    live.push(state.settings.instance.clone());
    live.sort_unstable();
    live.first() == Some(&state.settings.instance)
}

async fn fetch(state: &Arc<State>, peer: &Member) -> Result<(), Error> {
    let bytes: Vec<u8> = client::call(state, peer, "/peer/fold", &(), FOLD_TIMEOUT).await?;
    let fold = Fold::from_snapshot(&bytes)?;
    if fold.offset() > state.fold().offset() {
        event!(
            state.source,
            "records_from_peer",
            peer = peer.id.as_str(),
            offset = fold.offset()
        );
        let _ = install(state, fold);
    }
    Ok(())
}

fn ahead(state: &State) -> Option<Member> {
    let offset = state.fold().offset();
    let peer = lock(&state.owner).peer_ahead(offset, state.clock.now())?;
    state.listing().member(&peer).cloned()
}

fn alarm(state: &State, offset: Offset, error: &Error) -> String {
    let alarm = format!("entry {offset} of the configuration: {error}");
    if state.alarm().as_ref() != Some(&alarm) {
        event!(warn, state.source, "alarm", reason = alarm.as_str());
    }
    state.set_alarm(Some(alarm.clone()));
    alarm
}

fn report(state: &State, offset: Offset, verdict: &Verdict) {
    match verdict {
        Verdict::Accepted { kind, name, .. } => event!(
            state.source,
            "record_accepted",
            offset = offset,
            kind = %kind,
            name = name.as_str()
        ),
        Verdict::Rejected { reason } => event!(
            warn,
            state.source,
            "record_rejected",
            offset = offset,
            reason = reason.as_str()
        ),
    }
}
