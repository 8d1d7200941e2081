use std::rc::Rc;
use std::time::Duration;

use smol::Timer;

use super::border::{Topic, Trouble};
use super::member::Entry;
use super::Instance;
use crate::event;

/// Longest time that the log holds a read open. Each call has its price; an instance whose connection fell silent
/// learns from others' beats that it is behind, so the time may be long.
const WAIT: Duration = Duration::from_secs(10);

/// Shortest time between two reads of a topic, so that a topic that changes all the time costs few calls. It is far
/// below the time within which a change has to be in force.
const PAUSE: Duration = Duration::from_millis(150);

/// First pause after a call that failed.
const RETRY: Duration = Duration::from_millis(150);

/// Longest pause after a call that failed: the bound on what is in force counts from the return of the log.
const RETRY_LONGEST: Duration = Duration::from_millis(800);

/// Starts to follow all topics and makes this instance known.
pub(super) fn start(instance: &Rc<Instance>) {
    for topic in Topic::ALL {
        let instance = instance.clone();
        let executor = instance.executor.clone();
        executor
            .spawn(async move { run(&instance, topic).await })
            .detach();
    }
    let instance = instance.clone();
    let executor = instance.executor.clone();
    executor
        .spawn(async move { enter(&instance).await })
        .detach();
}

/// Writes the entry of this instance.
async fn enter(instance: &Instance) {
    let (name, entry) = {
        let settings = instance.settings.borrow();
        let entry = Entry {
            address: settings.peer_address(),
            domain: settings.domain.clone(),
        };
        (settings.instance.clone(), entry)
    };
    let value = match rmp_serde::to_vec(&entry) {
        Ok(value) => value,
        Err(error) => {
            event!(
                error,
                instance.source,
                "entry_unwritable",
                error = error.to_string()
            );
            return;
        }
    };
    let mut pause = RETRY;
    loop {
        match instance.store.put(&name, &value).await {
            Ok(()) => return count(instance, "entry", "ok"),
            Err(trouble) => {
                count(instance, "entry", "failed");
                event!(
                    warn,
                    instance.source,
                    "entry_not_written",
                    reason = format!("{trouble:?}")
                );
            }
        }
        pause = wait(pause).await;
    }
}

async fn run(instance: &Rc<Instance>, topic: Topic) {
    let mut pause = RETRY;
    let mut lost = false;
    let mut whole = true;
    loop {
        let end = instance.ends()[topic as usize];
        let read = if whole {
            instance.store.newest(topic).await
        } else {
            instance.store.read(topic, end, WAIT).await
        };
        match read {
            Ok(batch) => {
                count(instance, topic.name(), "ok");
                if lost {
                    event!(
                        instance.source,
                        "log_regained",
                        topic = topic.name(),
                        end = batch.end
                    );
                }
                (lost, pause) = (false, RETRY);
                instance.take(topic, batch.records, batch.end, whole);
                whole = false;
                Timer::after(PAUSE).await;
            }
            Err(trouble) => {
                count(instance, topic.name(), "failed");
                whole |= trouble == Trouble::Dropped;
                if !lost {
                    event!(
                        warn,
                        instance.source,
                        "log_lost",
                        topic = topic.name(),
                        end = end,
                        reason = format!("{trouble:?}")
                    );
                }
                lost = true;
                pause = wait(pause).await;
            }
        }
    }
}

/// Waits for a random part of the pause and returns the next one.
async fn wait(pause: Duration) -> Duration {
    Timer::after(pause.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
    (pause * 2).min(RETRY_LONGEST)
}

fn count(instance: &Instance, topic: &str, outcome: &str) {
    instance
        .metrics
        .store
        .with_label_values(&[topic, outcome])
        .inc();
}
