use super::{Candidate, Requirements};

/// Indices of the candidates to choose from; `None` instead of an empty list. Those of the own domain that are not full
/// come first, then those of other domains that are not full. If all are full, those of the own domain are used, so
/// that the request is refused with the retry-after of an owner there; without any, those of other domains.
pub(super) fn pool(requirements: &Requirements, candidates: &[Candidate]) -> Option<Vec<usize>> {
    let pick = |own: bool, allow_full: bool| -> Option<Vec<usize>> {
        let matches = |index: &usize| {
            let candidate = &candidates[*index];
            candidate.is_eligible(requirements)
                && (candidate.domain == requirements.domain) == own
                && (allow_full || !candidate.is_full(requirements))
        };
        let found: Vec<usize> = (0..candidates.len()).filter(matches).collect();
        (!found.is_empty()).then_some(found)
    };
    pick(true, false)
        .or_else(|| pick(false, false))
        .or_else(|| pick(true, true))
        .or_else(|| pick(false, true))
}

/// Mean of the known values; 0 if there are none.
pub(super) fn mean(values: impl Iterator<Item = Option<f64>>) -> f64 {
    let (sum, count) = values
        .flatten()
        .fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count > 0.0 {
        sum / count
    } else {
        0.0
    }
}
