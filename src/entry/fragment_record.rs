use std::rc::Rc;
use std::time::Duration;

use smol::Timer;

use super::follow::{count, read_instances};
use super::platform::{LogError, Topic};
use super::{FragmentKey, Instance};
use crate::event;

/// Key prefix of the records of fragments that are banned; the key of the fragment follows.
const PREFIX: &str = "fragment/";

/// Time between two comparisons of the bans with their records.
const INTERVAL: Duration = Duration::from_millis(500);

/// Pause after a write that failed.
const RETRY_PAUSE: Duration = Duration::from_secs(2);

/// The fragment that the record with this key in the instances' topic is about; none for the record of an instance.
pub(super) fn fragment(key: &str) -> Option<FragmentKey> {
    let text = key.strip_prefix(PREFIX)?;
    FragmentKey::from_str_radix(text, 16).ok()
}

/// Keeps the bans in the log, so that they outlast a restart of all instances. Of the live instances, the one that owns
/// the trials of a fragment writes its record.
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
    let banned = instance.quarantine.borrow().all_banned();
    if recorded == banned || !instance.knows(Topic::Instances) {
        return Ok(());
    }
    let added = banned
        .iter()
        .filter(|fragment| !recorded.contains(fragment));
    let removed = recorded
        .iter()
        .filter(|fragment| !banned.contains(fragment));
    let mut is_written = false;
    for fragment in added.chain(removed) {
        if !instance.owns_trials(*fragment) {
            continue;
        }
        // A record without a value removes its key.
        let value: &[u8] = if banned.contains(fragment) {
            b"banned"
        } else {
            b""
        };
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

/// The fragments with a record, sorted.
fn recorded(instance: &Instance) -> Vec<FragmentKey> {
    let folds = instance.folds.borrow();
    let keys = folds[Topic::Instances as usize].keys();
    let mut fragments: Vec<FragmentKey> = keys.filter_map(fragment).collect();
    fragments.sort_unstable();
    fragments
}
