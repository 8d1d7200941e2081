use super::platform::{LogError, Topic};
use super::Instance;

/// Reads and applies the newest records of the instances' topic.
pub(super) async fn read_instances(instance: &Instance) -> Result<(), LogError> {
    let batch = instance.log.newest(Topic::Instances).await?;
    count(instance, Topic::Instances.name(), "ok");
    instance.apply(Topic::Instances, batch.records, batch.end, true);
    Ok(())
}

/// Counts a call to the log in the metrics.
pub(super) fn count(instance: &Instance, topic: &str, outcome: &str) {
    instance
        .metrics
        .log_calls
        .with_label_values(&[topic, outcome])
        .inc();
}
