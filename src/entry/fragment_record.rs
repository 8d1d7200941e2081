use std::rc::Rc;
use std::time::Duration;

use smol::Timer;

use super::log_call::{count, read_instances};
use super::platform::{LogError, Topic};
use super::{FragmentKey, Instance};
use crate::event;

/// Key prefix of the records of fragments that are suspected or banned; the key of the fragment follows.
const PREFIX: &str = "fragment/";

/// Value of the record of a banned fragment.
const BANNED: &[u8] = b"banned";

/// Value of the record of a suspected fragment.
const SUSPECTED: &[u8] = b"suspected";

/// Time between two comparisons of suspicions and bans with their records.
const INTERVAL: Duration = Duration::from_millis(500);

/// Pause after a write that failed.
const RETRY_PAUSE: Duration = Duration::from_secs(2);

/// The fragment that the record with this key in the instances' topic is about; none for the record of an instance.
pub(super) fn fragment(key: &str) -> Option<FragmentKey> {
    let text = key.strip_prefix(PREFIX)?;
    FragmentKey::from_str_radix(text, 16).ok()
}

/// Whether the record of a restricted fragment says that it is banned.
pub(super) fn is_banned(value: &[u8]) -> bool {
    value != SUSPECTED
}

/// Keeps suspicions and bans in the log, so that they outlast a restart of all instances. Of the live instances, the one
/// that owns the trials of a banned fragment writes its record.
pub(super) async fn run(instance: Rc<Instance>) {
    loop {
        Timer::after(INTERVAL).await;
        if let Err(error) = write_changes(&instance).await {
            count(&instance, "fragment", "failed");
            event!(
                warn,
                instance.source,
                "fragments_unwritten",
                reason = format!("{error:?}")
            );
            Timer::after(RETRY_PAUSE).await;
        }
    }
}

async fn write_changes(instance: &Instance) -> Result<(), LogError> {
    let recorded = recorded(instance);
    let restricted = instance.quarantine.borrow().all_restricted();
    if recorded == restricted || !instance.knows(Topic::Instances) {
        return Ok(());
    }
    let changed = restricted
        .iter()
        .filter(|entry| !recorded.contains(entry))
        .map(|(fragment, is_banned)| (*fragment, if *is_banned { BANNED } else { SUSPECTED }));
    let is_released = |fragment: FragmentKey| {
        let known = restricted.binary_search_by_key(&fragment, |(known, _)| *known);
        known.is_err()
    };
    let removed = recorded
        .iter()
        .filter(|(fragment, _)| is_released(*fragment))
        // A record without a value removes its key.
        .map(|(fragment, _)| (*fragment, &b""[..]));
    let mut is_written = false;
    for (fragment, value) in changed.chain(removed) {
        if !instance.owns_trials(fragment) {
            continue;
        }
        instance
            .log
            .put(&format!("{PREFIX}{fragment:x}"), value)
            .await?;
        count(instance, "fragment", "ok");
        is_written = true;
    }
    if is_written {
        read_instances(instance).await?;
    }
    Ok(())
}

/// The fragments with a record, and whether they are banned, sorted.
fn recorded(instance: &Instance) -> Vec<(FragmentKey, bool)> {
    let folds = instance.folds.borrow();
    let fold = &folds[Topic::Instances as usize];
    let entries = fold.keys().filter_map(|key| {
        let fragment = fragment(key)?;
        Some((fragment, is_banned(fold.recorded(key)?)))
    });
    let mut fragments: Vec<(FragmentKey, bool)> = entries.collect();
    fragments.sort_unstable();
    fragments
}
