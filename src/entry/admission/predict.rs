use std::time::Duration;

use crate::entry::place::{BACKGROUND_SHARE, MAX_PARTS};
use crate::entry::{usable, Engine, Profile, Requirements, Usable};

/// Time by which work ends that no engine can do. Far beyond any objective, and safe to add to other times.
const NEVER: Duration = Duration::from_secs(3_600);

/// How a long prompt waits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Wait {
    /// Prefill time, on one engine, of the prompts that are ahead of it.
    pub ahead: Duration,
    /// Time after which it waits no longer.
    pub left: Duration,
    /// Objective for the first event, from arrival on.
    pub objective: Duration,
    /// Time since its arrival.
    pub waited: Duration,
}

/// Why a prompt cannot be in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The prompts ahead of it take too long.
    Ahead,
    /// No engine becomes free in time.
    NoEngine,
    /// It is too large for the engines.
    Size,
}

impl Reason {
    /// Name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Ahead => "ahead",
            Reason::NoEngine => "no_engine",
            Reason::Size => "size",
        }
    }
}

/// What becomes of a waiting prompt, by an optimistic estimate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Time until the prompts ahead of it are prefilled.
    pub drained: Duration,
    /// Time until its first event.
    pub first_event: Duration,
    /// Why it cannot be in time; none if it can.
    pub reason: Option<Reason>,
    /// Time after which the same prompt would be in time if it arrived then.
    pub retry: Duration,
}

/// Predicts whether a long prompt that finds no placement now gets its first event in time.
///
/// The engines share the work ahead and the prompt without loss, so a prompt is late only if it would be late under any
/// order of the work ahead. A prompt that misses its objective can still be placed as background work once the work
/// ahead is done. None if no engine takes long prompts: nothing is known about engines that return.
pub fn predict(
    requirements: &Requirements,
    profile: &Profile,
    engines: &[Engine],
    wait: &Wait,
) -> Option<Prediction> {
    let (usable, is_short) = usable(requirements, profile, engines, wait.waited);
    let soonest = usable.first()?.after;
    let prefill_time = profile.prefill_time(requirements.prompt);
    let ahead = match is_short {
        true => Duration::ZERO,
        false => wait.ahead,
    };
    let alone = alone(&usable, prefill_time);
    let drained = finish_time(&usable, ahead);
    let first_event = finish_time(&usable, ahead.saturating_add(prefill_time)).max(alone);
    let parts = usable.len().clamp(1, MAX_PARTS) as u32;
    let background_limit = requirements.deadline.saturating_sub(drained);
    let can_be_background =
        drained <= wait.left && prefill_time / parts <= background_limit.mul_f64(BACKGROUND_SHARE);
    let reason = if first_event <= requirements.objective || can_be_background {
        None
    } else if soonest >= requirements.objective {
        Some(Reason::NoEngine)
    } else if alone > requirements.objective {
        Some(Reason::Size)
    } else {
        Some(Reason::Ahead)
    };
    Some(Prediction {
        drained,
        first_event,
        reason,
        retry: first_event.saturating_sub(wait.objective),
    })
}

/// Time until a prompt is prefilled by as many engines as it can use, at the speed of the fastest, without work ahead.
fn alone(usable: &[Usable], prefill_time: Duration) -> Duration {
    let slowdowns = usable.iter().map(|engine| engine.slowdown);
    let slowdown = slowdowns.fold(f64::INFINITY, f64::min);
    let soonest = usable.iter().take(MAX_PARTS);
    let soonest: Vec<Usable> = soonest
        .map(|engine| Usable {
            slowdown,
            ..*engine
        })
        .collect();
    finish_time(&soonest, prefill_time)
}

/// Time until engines, sorted by the time after which they are usable, have done work that is divided over them without
/// loss.
fn finish_time(usable: &[Usable], work: Duration) -> Duration {
    let work = work.as_secs_f64();
    let (mut speed, mut missed) = (0.0, 0.0);
    let mut finish = NEVER.as_secs_f64();
    for engine in usable {
        let after = engine.after.as_secs_f64();
        if after >= finish {
            break;
        }
        speed += 1.0 / engine.slowdown;
        missed += after / engine.slowdown;
        finish = ((work + missed) / speed).min(NEVER.as_secs_f64());
    }
    Duration::try_from_secs_f64(finish).unwrap_or(NEVER)
}
