use crate::error::Kind;

/// Receivers of control messages.
pub(super) const CHANNELS: &[&str] = &["heartbeat", "list", "log", "peer", "target"];

/// Prompt length classes.
pub(super) const CLASSES: &[&str] = &["long", "medium", "short"];

/// Results of a claim of an idempotency key.
pub(super) const CLAIMS: &[&str] = &["expired", "lost", "refused", "replayed", "unknown", "won"];

/// Results of a gang.
pub(super) const GANGS: &[&str] = &["cancelled", "failed", "finished", "refused"];

/// Outcome of a request that got its complete answer.
pub(super) const OK: &str = "ok";

/// Label for a value that is not in its list.
pub(super) const OTHER: &str = "other";

/// States of a target.
pub(super) const STATES: &[&str] = &["cold", "gone", "leaving", "warm", "warming"];

/// Returns the label for `value`, which is `other` unless the sorted list contains it.
pub(super) fn bounded(value: &str, list: &[&'static str]) -> &'static str {
    match list.binary_search(&value) {
        Ok(index) => list[index],
        Err(_) => OTHER,
    }
}

/// All outcomes of a request.
pub(super) fn outcomes() -> Vec<&'static str> {
    let kinds = Kind::ALL.iter().map(|kind| kind.name());
    kinds.chain([OK]).collect()
}
