use crate::error::Kind;

/// Remote sides of control messages.
pub(super) const CHANNELS: &[&str] = &["heartbeat", "list", "log", "peer", "target"];

/// Prompt length classes.
pub(super) const CLASSES: &[&str] = &["long", "medium", "short"];

/// Outcomes of a claim to an idempotency key.
pub(super) const CLAIMS: &[&str] = &["expired", "lost", "refused", "replayed", "unknown", "won"];

/// Outcomes of a gang.
pub(super) const GANGS: &[&str] = &["cancelled", "failed", "finished", "refused"];

/// Outcome of a request that received its complete response.
pub(super) const OK: &str = "ok";

/// Label value that stands for all values outside of a list.
pub(super) const OTHER: &str = "other";

/// States of a target.
pub(super) const STATES: &[&str] = &["cold", "gone", "leaving", "warm", "warming"];

/// Returns `value` if the sorted list contains it, and `other` if not.
pub(super) fn bounded(value: &str, list: &[&'static str]) -> &'static str {
    match list.binary_search(&value) {
        Ok(index) => list[index],
        Err(_) => OTHER,
    }
}

/// All outcomes of a request: `ok` and the error kinds.
pub(super) fn outcomes() -> Vec<&'static str> {
    let kinds = Kind::ALL.iter().map(|kind| kind.name());
    kinds.chain([OK]).collect()
}
