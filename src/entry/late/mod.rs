//! Names the cause of a late response. Load: uneven targets, full engines and slow callers, for which the log has many
//! times of a request, but no line that says which of them made its response late.

mod recorder;

use std::time::Duration;

pub(super) use recorder::Recorder;

/// Why a response is late.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Earlier sends failed, were refused or fell silent, or the stream had to continue at another target.
    Attempt,
    /// The target that answered took longer than predicted, or than the objective.
    FirstEvent,
    /// The target sent nothing for longer than the route's gap while the stream was read.
    Pause,
    /// No target was available.
    Place,
    /// The caller did not read for longer than the route's gap.
    Reader,
}

impl Cause {
    /// Name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Cause::Attempt => "attempt",
            Cause::FirstEvent => "first_event",
            Cause::Pause => "pause",
            Cause::Place => "place",
            Cause::Reader => "reader",
        }
    }
}

/// Time between two deliveries of events.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Gap {
    /// Id of the event before it, if events have ids.
    pub after_event: Option<u64>,
    /// Whether another target ended it.
    pub is_moved: bool,
    /// Length of the gap.
    pub time: Duration,
}

/// Recorded times of a request, on the clock of its instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Times {
    /// Arrival of the request.
    pub arrival: Duration,
    /// Start of the send that answered, or of the last one.
    pub answering_send: Option<Duration>,
    /// First event or whole answer; the end of the request if it had neither.
    pub first_event: Duration,
    /// Start of the first send.
    pub first_send: Option<Duration>,
    /// Longest gap during which the target was waited for; the time for which the caller did not read is left out.
    pub pause: Gap,
    /// Predicted time from the answering send to its first event.
    pub predicted: Duration,
    /// Longest time for which the caller did not read.
    pub unread: Gap,
}

/// What a route promises.
#[derive(Clone, Copy, Debug)]
pub struct Promise {
    /// Longest time between two events.
    pub gap: Duration,
    /// Longest time until the first event or the whole answer.
    pub objective: Duration,
}

/// Explanation of a late response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lateness {
    /// Time from the first send to the one that answered.
    pub attempt: Duration,
    /// Cause.
    pub cause: Cause,
    /// Time from the answering send to the first event.
    pub first: Duration,
    /// Whether the first event or the whole answer was late; otherwise only later events were.
    pub is_first: bool,
    /// Longest gap; for [`Cause::Reader`], the longest time for which the caller did not read.
    pub pause: Gap,
    /// Time from the arrival to the first send.
    pub place: Duration,
}

/// The cause of a late response; none if the response was in time. Lateness before the first event goes before that of
/// later events, and the target's pause before that of the caller.
pub fn explain(times: &Times, promise: Promise) -> Option<Lateness> {
    let first_send = times.first_send.unwrap_or(times.first_event);
    let answering_send = times.answering_send.unwrap_or(times.first_event);
    let place = first_send.saturating_sub(times.arrival);
    let attempt = answering_send.saturating_sub(first_send);
    let first = times.first_event.saturating_sub(answering_send);
    let is_late = times.first_event.saturating_sub(times.arrival) > promise.objective;
    let is_slow = first > times.predicted || first > promise.objective;
    let cause = if is_late {
        // A target that was as fast as predicted is not the cause, even if its share is the largest.
        if is_slow && first >= place.max(attempt) {
            Cause::FirstEvent
        } else if attempt >= place {
            Cause::Attempt
        } else {
            Cause::Place
        }
    } else if times.pause.time > promise.gap {
        match times.pause.is_moved {
            true => Cause::Attempt,
            false => Cause::Pause,
        }
    } else if times.unread.time > promise.gap {
        Cause::Reader
    } else {
        return None;
    };
    Some(Lateness {
        attempt,
        cause,
        first,
        is_first: is_late,
        pause: match cause {
            Cause::Reader => times.unread,
            Cause::Attempt | Cause::FirstEvent | Cause::Pause | Cause::Place => times.pause,
        },
        place,
    })
}
