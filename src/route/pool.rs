use super::{Candidate, Requirements};

/// Indices of the candidates to choose from, never empty: those of the own domain, else of other domains. A full queue
/// or memory moves on to other domains; if all are full, the own domain's owner refuses with its own retry-after.
pub(super) fn pool(requirements: &Requirements, candidates: &[Candidate]) -> Option<Vec<usize>> {
    let pick = |own: bool, full: bool| -> Option<Vec<usize>> {
        let matches = |index: &usize| {
            let candidate = &candidates[*index];
            candidate.takes(requirements)
                && (candidate.domain == requirements.domain) == own
                && (full || !candidate.is_full(requirements))
        };
        let found: Vec<usize> = (0..candidates.len()).filter(matches).collect();
        (!found.is_empty()).then_some(found)
    };
    pick(true, false)
        .or_else(|| pick(false, false))
        .or_else(|| pick(true, true))
        .or_else(|| pick(false, true))
}

/// Mean of what is known; 0 if nothing is.
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
