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

/// Log stream with the operators' records.
pub(crate) const CONFIG: &str = "config";

/// Log stream with snapshots of the fold.
pub(crate) const SNAPSHOT: &str = "config-snapshot";

/// Most entries of one read.
const PAGE_ENTRIES: usize = 256;

/// Time for which the log holds a read open until there are new entries. A connection that is silent is noticed only after
/// it and the time-out of the call; together they are shorter than the 6 s within which a record has to be in force.
const POLL_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause after a failed read, and between two checks for peers that are ahead.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Time limit for fetching a peer's fold.
const FOLD_TIMEOUT: Duration = Duration::from_secs(2);

/// Entries from one snapshot to the next; the log retains at least as many.
const SNAPSHOT_INTERVAL: Offset = 512;

/// Follows the configuration stream and applies its records.
pub(crate) async fn run(state: Arc<State>) {
    let mut failing = false;
    loop {
        match read_page(&state).await {
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
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

/// Fetches the fold of a peer that has read more records, whether or not the log answers.
pub(crate) async fn catch_up(state: Arc<State>) {
    loop {
        Timer::after(RETRY_PAUSE).await;
        if let Some(peer) = peer_ahead(&state) {
            let _ = fetch(&state, &peer).await;
        }
    }
}

/// Reads the next entries and applies them; falls back to a snapshot if the log no longer has them.
async fn read_page(state: &Arc<State>) -> Result<(), String> {
    let mut fold = (*state.fold()).clone();
    let from = fold.offset() + 1;
    let page = state
        .log
        .read(CONFIG, from, PAGE_ENTRIES, POLL_TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    if page.first > from {
        fold = restore(state, page.first).await?;
        return install(state, fold);
    }
    let mut failure = None;
    for entry in &page.entries {
        match fold.apply(entry.offset, &entry.body) {
            Ok(verdict) => report(state, entry.offset, &verdict),
            Err(error) => {
                failure = Some((entry.offset, error));
                break;
            }
        }
    }
    // The entries before one that cannot be applied take effect.
    install(state, fold)?;
    match failure {
        Some((offset, error)) => Err(raise_alarm(state, offset, &error)),
        None => Ok(()),
    }
}

/// Makes a fold the one in force, unless it is older, and applies it to the targets.
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
    super::queue::enforce(state);
    if offset / SNAPSHOT_INTERVAL > before / SNAPSHOT_INTERVAL {
        publish_snapshot(state);
    }
    Ok(())
}

/// Reads the newest snapshot, which must include all entries before `first`.
async fn restore(state: &Arc<State>, first: Offset) -> Result<Fold, String> {
    let mut best: Option<Fold> = None;
    let mut from = 1;
    loop {
        let page = state
            .log
            .read(SNAPSHOT, from, PAGE_ENTRIES, Duration::ZERO)
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
        .ok_or_else(|| {
            format!("the log has no entries before {first} and no snapshot that includes them")
        })
}

/// Appends a snapshot, if this instance is to publish it. Instances that race append the same bytes.
fn publish_snapshot(state: &Arc<State>) {
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

/// One instance of each domain publishes, so that the log gets snapshots even if a domain is cut off.
fn is_publisher(state: &State) -> bool {
    let mut live = lock(&state.ownership).live(state.clock.now());
    live.push(state.settings.instance.clone());
    live.sort_unstable();
    live.first() == Some(&state.settings.instance)
}

/// Fetches a peer's fold and installs it if it is newer.
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

fn peer_ahead(state: &State) -> Option<Member> {
    let offset = state.fold().offset();
    let peer = lock(&state.ownership).peer_ahead(offset, state.clock.now())?;
    state.listing().member(&peer).cloned()
}

/// Logs and raises the alarm that an entry cannot be applied.
fn raise_alarm(state: &State, offset: Offset, error: &Error) -> String {
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
