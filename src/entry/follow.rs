use std::rc::Rc;
use std::time::Duration;

use futures_lite::future::or;
use smol::Timer;

use super::log_call::{count, read_instances};
use super::member::{shares_reads, Entry};
use super::platform::{LogError, Topic, ANSWER_TIMEOUT};
use super::Instance;
use crate::event;

/// Time between two reads of the instances' records, in case two instances missed each other.
const INSTANCES_INTERVAL: Duration = Duration::from_secs(30);

/// Maximum time after which an instance compares the instances' records with a log that came back from an older copy;
/// at random, so that not all instances write theirs again in the same moment.
const MAX_SYNC_DELAY: Duration = Duration::from_secs(2);

/// Maximum time for which the log holds a read open.
const MAX_POLL: Duration = Duration::from_secs(10);

/// Minimum time for which the log holds a read open, even if a bound is shorter. Each call has a cost.
const MIN_POLL: Duration = Duration::from_millis(500);

/// Number of readers for which polls get longer by one minimum: an instance learns what others know from heartbeats.
const READERS_PER_POLL: f64 = 6.0;

/// Time in which records of a reader reach the other instances: two heartbeats and a transfer.
const PASS_ON_TIME: Duration = Duration::from_secs(1);

/// Time after which an instance reads a topic itself although others read it for it.
const MAX_UNREAD: Duration = Duration::from_secs(30);

/// Time between two looks whether this instance has to read a topic.
const TURN_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between two reads of a topic, so that a topic that changes all the time costs few calls. It is far
/// below the time within which a change has to be in force.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(350);

/// Pause after a first failed call.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Maximum pause after a failed call: the time limit for a change to be in force counts from the return of the log.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);

/// The same for an instance that is not among those that try often: the others notice the return of the log and pass on
/// what they read.
const MAX_RARE_RETRY_PAUSE: Duration = Duration::from_millis(2_400);

/// Starts following all topics and registers this instance.
pub(super) fn start(instance: &Rc<Instance>) {
    for topic in [Topic::Operator, Topic::Targets] {
        let instance = instance.clone();
        let executor = instance.executor.clone();
        executor
            .spawn(async move { follow(&instance, topic).await })
            .detach();
    }
    let executor = instance.executor.clone();
    executor
        .spawn(super::fragment_record::run(instance.clone()))
        .detach();
    let instance = instance.clone();
    executor
        .spawn(async move { register(&instance).await })
        .detach();
}

/// Registers this instance and reads the other instances' records. Later arrivals become known by their heartbeats,
/// since each instance that registers sends heartbeats to all that registered before it.
async fn register(instance: &Rc<Instance>) {
    let (name, value) = match entry(instance) {
        Ok(entry) => entry,
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
    let mut pause = FIRST_RETRY_PAUSE;
    loop {
        match sync_instances(instance, &name, &value).await {
            Ok(()) => pause = INSTANCES_INTERVAL,
            Err(error) => {
                count(instance, Topic::Instances.name(), "failed");
                event!(
                    warn,
                    instance.source,
                    "instances_unread",
                    reason = format!("{error:?}")
                );
                pause = longer(pause, instance, Topic::Instances);
            }
        }
        let pause_ends = async {
            Timer::after(pause.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
        };
        let requested = async {
            instance.sync_requested().await;
            Timer::after(MAX_SYNC_DELAY.mul_f64(fastrand::f64())).await;
        };
        or(pause_ends, requested).await;
    }
}

/// Reads the records of all instances. Writes the record of this instance first if it is missing or differs, so that of
/// two instances that register at the same time at least one sees the other.
async fn sync_instances(instance: &Rc<Instance>, name: &str, value: &[u8]) -> Result<(), LogError> {
    read_instances(instance).await?;
    let is_known = {
        let folds = instance.folds.borrow();
        folds[Topic::Instances as usize].recorded(name) == Some(value)
    };
    if is_known {
        return Ok(());
    }
    instance.log.put(name, value).await?;
    count(instance, "entry", "ok");
    read_instances(instance).await
}

fn entry(instance: &Instance) -> Result<(String, Vec<u8>), rmp_serde::encode::Error> {
    let settings = instance.settings.borrow();
    let entry = Entry {
        address: settings.peer_address(),
        domain: settings.domain.clone(),
    };
    Ok((settings.instance.clone(), rmp_serde::to_vec(&entry)?))
}

async fn follow(instance: &Rc<Instance>, topic: Topic) {
    let mut pause = FIRST_RETRY_PAUSE;
    let mut is_lost = false;
    let mut last_answer = instance.clock.now();
    let mut whole = true;
    loop {
        let wait = if whole {
            Duration::ZERO
        } else {
            wait_for_turn(instance, topic, last_answer).await
        };
        let end = instance.ends()[topic as usize];
        let read = if whole {
            instance.log.newest(topic).await
        } else {
            instance.log.read(topic, end.offset, wait).await
        };
        instance.set_reads(topic, read.is_ok() && instance.is_reader(topic));
        match read {
            Ok(batch) => {
                count(instance, topic.name(), "ok");
                if is_lost {
                    event!(
                        instance.source,
                        "log_regained",
                        topic = topic.name(),
                        era = batch.end.era,
                        end = batch.end.offset,
                        after_ms = elapsed_ms(instance, last_answer)
                    );
                }
                let is_behind = batch.end.offset < batch.log_end;
                if is_behind {
                    event!(
                        instance.source,
                        "log_behind",
                        topic = topic.name(),
                        era = batch.end.era,
                        end = batch.end.offset,
                        log_end = batch.log_end
                    );
                }
                last_answer = instance.clock.now();
                (is_lost, pause) = (false, FIRST_RETRY_PAUSE);
                instance.apply(topic, batch.records, batch.end, whole);
                let is_other_era = instance.ends()[topic as usize].era < batch.end.era;
                // The newest records are shorter to read than all that were written since.
                whole = is_behind || is_other_era;
                if !whole {
                    Timer::after(MIN_READ_INTERVAL).await;
                }
            }
            Err(error) => {
                count(instance, topic.name(), "failed");
                whole |= error == LogError::Dropped;
                if !is_lost {
                    event!(
                        warn,
                        instance.source,
                        "log_lost",
                        topic = topic.name(),
                        era = end.era,
                        end = end.offset,
                        reason = format!("{error:?}"),
                        after_ms = elapsed_ms(instance, last_answer)
                    );
                }
                is_lost = true;
                Timer::after(pause.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
                pause = longer(pause, instance, topic);
            }
        }
    }
}

/// Waits while other instances read a topic and pass it on. Returns the time for which the log holds the read open.
async fn wait_for_turn(instance: &Instance, topic: Topic, last_answer: Duration) -> Duration {
    loop {
        if instance.is_reader(topic) {
            return poll_time(instance, topic);
        }
        instance.set_reads(topic, false);
        let is_late = instance.clock.now() >= last_answer + MAX_UNREAD;
        if instance.take_must_read(topic) || is_late {
            return Duration::ZERO;
        }
        Timer::after(TURN_INTERVAL).await;
    }
}

/// Time for which the log holds a read open: random, so that reads which began together do not end together. A silent
/// connection is noticed only at the end of a read, and at least one instance has to notice within the bound.
fn poll_time(instance: &Instance, topic: Topic) -> Duration {
    let bound = instance.bound(topic);
    let pass_on = match shares_reads(bound) {
        true => PASS_ON_TIME,
        false => Duration::ZERO,
    };
    let shortest = bound.saturating_sub(ANSWER_TIMEOUT + pass_on).max(MIN_POLL);
    let readers = instance
        .members
        .borrow()
        .readers(topic, instance.clock.now())
        + 1;
    let factor = (readers as f64 / READERS_PER_POLL).max(1.0);
    let longest = shortest.mul_f64(factor).min(MAX_POLL).max(shortest);
    shortest + (longest - shortest).mul_f64(fastrand::f64())
}

fn elapsed_ms(instance: &Instance, since: Duration) -> u64 {
    instance.clock.now().saturating_sub(since).as_millis() as u64
}

/// The pause after one more failed call for a topic.
fn longer(pause: Duration, instance: &Instance, topic: Topic) -> Duration {
    let max = match instance.tries_often(topic) {
        true => MAX_RETRY_PAUSE,
        false => MAX_RARE_RETRY_PAUSE,
    };
    (pause * 2).min(max)
}
