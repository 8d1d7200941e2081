use std::rc::Rc;
use std::time::Duration;

use smol::Timer;

use super::follow::{count, read_instances};
use super::platform::{LogError, Topic};
use super::{Instance, PartKey};
use crate::event;

/// Key prefix of the records of parts that are held back; the key of the part follows.
const PREFIX: &str = "part/";

/// Time between two comparisons of the holds with their records.
const INTERVAL: Duration = Duration::from_millis(500);

/// Pause after a write that failed.
const RETRY_PAUSE: Duration = Duration::from_secs(2);

/// The part that the record with this key in the instances' topic is about; none for the record of an instance.
pub(super) fn part(key: &str) -> Option<PartKey> {
    let text = key.strip_prefix(PREFIX)?;
    PartKey::from_str_radix(text, 16).ok()
}

/// Keeps the holds in the log, so that they outlast a restart of all instances. Of the live instances, the one that owns
/// the trials of a part writes its record.
pub(super) async fn run(instance: Rc<Instance>) {
    loop {
        Timer::after(INTERVAL).await;
        if let Err(error) = write_changes(&instance).await {
            count(&instance, "part", "failed");
            event!(
                warn,
                instance.source,
                "parts_unwritten",
                reason = format!("{error:?}")
            );
            Timer::after(RETRY_PAUSE).await;
        }
    }
}

async fn write_changes(instance: &Instance) -> Result<(), LogError> {
    let recorded = recorded(instance);
    let held = instance.quarantine.borrow().all_held();
    if recorded == held || !instance.knows(Topic::Instances) {
        return Ok(());
    }
    let added = held.iter().filter(|part| !recorded.contains(part));
    let removed = recorded.iter().filter(|part| !held.contains(part));
    let mut is_written = false;
    for part in added.chain(removed) {
        if !instance.owns_trials(*part) {
            continue;
        }
        // A record without a value removes its key.
        let value: &[u8] = if held.contains(part) { b"held" } else { b"" };
        instance
            .log
            .put(&format!("{PREFIX}{part:x}"), value)
            .await?;
        count(instance, "part", "ok");
        is_written = true;
    }
    if is_written {
        read_instances(instance).await?;
    }
    Ok(())
}

/// The parts with a record, sorted.
fn recorded(instance: &Instance) -> Vec<PartKey> {
    let folds = instance.folds.borrow();
    let keys = folds[Topic::Instances as usize].keys();
    let mut parts: Vec<PartKey> = keys.filter_map(part).collect();
    parts.sort_unstable();
    parts
}
