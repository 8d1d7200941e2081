use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::future::or;
use smol::Timer;

use super::attempt::{Attempt, Attempts};
use super::hedge::{Hedged, Winner};
use super::outcome::{Buffered, GivenUp, Opened, Outcome};
use super::{Exchange, InFlight, RouteKind, MAX_SENDS, PLACEMENT_INTERVAL, SILENCE_SHARE};
use crate::entry::platform::Failure;
use crate::entry::{Placement, Target};

/// Time past the predicted first event after which a silent target is probed by a new connection: several passes.
const PROBE_AFTER: Duration = Duration::from_millis(250);

/// A repeatable request without a stream is sent to another target after this many objectives without an answer.
const OBJECTIVES_BEFORE_RETRY: u32 = 3;

/// Time after which a request whose targets are all silent looks for another target again.
pub(in crate::entry) const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// How the search for a target that answers ended.
pub(in crate::entry) enum Opening {
    /// A complete answer.
    Answer(Buffered),
    GivenUp(GivenUp),
    Stream(Box<Opened>),
}

/// What a request waits for besides the outcomes of its sends.
#[derive(Clone, Copy, Debug)]
pub(super) enum Phase {
    /// A placement.
    Find,
    /// Silence of the newest target.
    Listen,
    /// The next look for a placement, because all targets are silent and no other one is available.
    Wait,
}

/// What happened while a request waited.
pub(super) enum Progress {
    Due,
    Ended(Attempt, Outcome),
    Found(Result<(Placement, InFlight), GivenUp>),
    /// The first send is slower than most of its route.
    Slow,
    Silent,
}

/// What tells that the target of a send is silent.
struct Silence {
    expiry: Receiver<Infallible>,
    predicted: Duration,
    started: Duration,
    target: Rc<Target>,
}

impl Silence {
    fn new(attempt: &Attempt) -> Silence {
        Silence {
            expiry: attempt.expiry.clone(),
            predicted: attempt.predicted,
            started: attempt.started,
            target: attempt.target.clone(),
        }
    }
}

/// What the outcome of a send means for the request.
enum Verdict {
    Final(Opening),
    /// Nothing was sent, so the request may be placed again without another retry.
    Replace,
    Retry,
}

/// The search for a target that answers a request.
pub(super) struct Search {
    /// The last error that a target answered with.
    answered: Option<Buffered>,
    pub(super) attempts: Attempts,
    /// The second send that was sent because the first one was slow, if any.
    pub(super) hedged: Option<Hedged>,
    /// Time at which the first send counts as slow, unless that was decided.
    pub(super) slow_at: Option<Duration>,
    /// Whether the next send is taken from the retry budget.
    pub(super) is_retry: bool,
    pub(super) last_event_id: Option<u64>,
    phase: Phase,
    /// The send whose answer the caller gets, once it is known.
    pub(super) winner: Option<Winner>,
}

impl Search {
    /// Gives up, unless a silent target may still answer.
    fn give_up(&mut self, given_up: GivenUp) -> Option<Opening> {
        if !self.attempts.is_empty() {
            self.phase = Phase::Wait;
            return None;
        }
        Some(Opening::GivenUp(GivenUp {
            answered: self.answered.take(),
            ..given_up
        }))
    }
}

impl Exchange {
    /// Sends the request to one target after another until one answers. A stream continues after the event
    /// `last_event_id`. A silent target may still answer, so its connection is kept while another one is tried.
    pub(in crate::entry) async fn open(&mut self, last_event_id: Option<u64>) -> Opening {
        let mut search = Search {
            answered: None,
            attempts: Attempts::default(),
            hedged: None,
            slow_at: None,
            is_retry: self.resumes,
            last_event_id,
            phase: Phase::Find,
            winner: None,
        };
        if search.is_retry && !self.may_retry() {
            return Opening::GivenUp(self.retries_exhausted());
        }
        loop {
            let progress = self.wait(&mut search).await;
            let opening = match progress {
                Progress::Due if self.time_left().is_zero() => Some(self.time_out(&mut search)),
                Progress::Due => {
                    self.look_again(&mut search);
                    None
                }
                Progress::Ended(attempt, outcome) => {
                    self.settle(&mut search, attempt, outcome).await
                }
                Progress::Found(Ok((placement, in_flight))) => {
                    self.begin(&mut search, placement, in_flight)
                }
                Progress::Found(Err(given_up)) => search.give_up(given_up),
                Progress::Slow => {
                    self.hedge(&mut search);
                    None
                }
                Progress::Silent => {
                    self.record_silence(&mut search);
                    self.look_again(&mut search);
                    None
                }
            };
            if let Some(opening) = opening {
                self.end_hedge(&search, &opening);
                return opening;
            }
        }
    }

    async fn wait(&self, search: &mut Search) -> Progress {
        let phase = search.phase;
        let fresh = search.attempts.fresh().map(Silence::new);
        let slow_at = search.slow_at;
        let event = async {
            match (phase, fresh) {
                (Phase::Find, _) => Progress::Found(self.find_placement().await),
                (Phase::Listen, Some(silence)) => {
                    let silent = async {
                        self.wait_for_silence(&silence).await;
                        Progress::Silent
                    };
                    or(silent, self.wait_until_slow(slow_at)).await
                }
                (Phase::Listen, None) | (Phase::Wait, _) => {
                    Timer::after(RETRY_INTERVAL.min(self.time_left())).await;
                    Progress::Due
                }
            }
        };
        let ended = async {
            let (attempt, outcome) = search.attempts.ended().await;
            Progress::Ended(attempt, outcome)
        };
        or(ended, event).await
    }

    /// Looks for another target beside those that are silent, if the request may run at both and a retry is allowed.
    fn look_again(&self, search: &mut Search) {
        search.phase = match self.route.kind.is_repeatable() && self.may_retry() {
            true => Phase::Find,
            false => Phase::Wait,
        };
    }

    /// Sends the request to its placement.
    fn begin(
        &mut self,
        search: &mut Search,
        placement: Placement,
        in_flight: InFlight,
    ) -> Option<Opening> {
        if search.is_retry && !self.spend_retry() {
            return search.give_up(self.retries_exhausted());
        }
        if let Some(given_up) = self.check_fragments() {
            return search.give_up(given_up);
        }
        self.push_send(search, placement, in_flight);
        search.slow_at = self.slow_at();
        search.phase = Phase::Listen;
        None
    }

    /// Starts the next send.
    pub(super) fn push_send(
        &mut self,
        search: &mut Search,
        placement: Placement,
        in_flight: InFlight,
    ) {
        let key = placement.primary.key();
        self.sends += 1;
        self.tried.push(key);
        self.uncounted = Some(key);
        let attempt = self.send(placement, in_flight, search.last_event_id);
        self.late
            .record_send(&attempt.target, attempt.predicted, attempt.started);
        search.attempts.push(attempt);
    }

    /// Records that the newest target is silent. The request may run there.
    fn record_silence(&mut self, search: &mut Search) {
        let Some(attempt) = search.attempts.mark_silent() else {
            return;
        };
        self.record(attempt, &Outcome::Failed(Failure::Silent));
        self.count_sent();
        search.is_retry = true;
    }

    /// Records the outcome of a send; returns the opening if the request has its answer or must not be sent again.
    async fn settle(
        &mut self,
        search: &mut Search,
        attempt: Attempt,
        outcome: Outcome,
    ) -> Option<Opening> {
        let is_final_error = search.last_event_id.is_some();
        let verdict = self.judge(&attempt, outcome, is_final_error, &mut search.answered);
        let is_replaced = match verdict {
            Verdict::Final(opening) => {
                search.winner =
                    matches!(opening, Opening::Answer(_)).then(|| Winner::new(&attempt));
                let now = self.instance.clock.now();
                let Attempt {
                    predicted, started, ..
                } = attempt;
                self.late
                    .record_answer(&attempt.target, predicted, started, now);
                return Some(opening);
            }
            Verdict::Replace => true,
            Verdict::Retry => false,
        };
        search.is_retry = !is_replaced;
        if search.attempts.fresh().is_some() {
            return None;
        }
        if is_replaced {
            Timer::after(PLACEMENT_INTERVAL).await;
            if self.sends < MAX_SENDS && !self.time_left().is_zero() {
                search.phase = Phase::Find;
                return None;
            }
        }
        if !self.may_retry() {
            return search.give_up(self.retries_exhausted());
        }
        search.phase = Phase::Find;
        None
    }

    fn judge(
        &mut self,
        attempt: &Attempt,
        outcome: Outcome,
        is_final_error: bool,
        answered: &mut Option<Buffered>,
    ) -> Verdict {
        let (target, key) = (&attempt.target, attempt.target.key());
        self.record(attempt, &outcome);
        if matches!(outcome, Outcome::Failed(Failure::Broken)) {
            self.confirm_end(target);
        }
        if !outcome.may_have_run() {
            self.discount(attempt);
        }
        match outcome {
            Outcome::Opened(opened) => {
                match attempt.is_counted {
                    // The newest target may have run the request too.
                    true => self.count_sent(),
                    false => self.uncounted = None,
                }
                Verdict::Final(Opening::Stream(opened))
            }
            Outcome::Answered(reply) => {
                self.count_outcome(attempt);
                if reply.status.is_success() {
                    self.record_answer();
                }
                let is_final = is_final_error || !reply.status.is_server_error();
                if is_final || !self.route.kind.is_repeatable() {
                    return Verdict::Final(Opening::Answer(reply));
                }
                *answered = Some(reply);
                Verdict::Retry
            }
            Outcome::Failed(failure) if failure.may_have_run() => {
                self.count_outcome(attempt);
                match self.route.kind.is_repeatable() {
                    true => Verdict::Retry,
                    false => Verdict::Final(Opening::GivenUp(self.outcome_unknown(failure))),
                }
            }
            Outcome::NoMemory => {
                if let Some(at) = self.tried.iter().rposition(|tried| *tried == key) {
                    self.tried.remove(at);
                }
                Verdict::Replace
            }
            Outcome::NotRun(_) => {
                self.refused.push(key);
                Verdict::Retry
            }
            Outcome::Failed(_) => Verdict::Retry,
        }
    }

    /// Ends a request whose targets are all silent at its time limit.
    fn time_out(&mut self, search: &mut Search) -> Opening {
        let given_up = match self.route.kind.is_repeatable() {
            true => self.retries_exhausted(),
            false => self.outcome_unknown(Failure::Silent),
        };
        Opening::GivenUp(GivenUp {
            answered: search.answered.take(),
            ..given_up
        })
    }

    /// Returns when the target has been silent for so long that another one is tried, or when memory of the request has
    /// expired: the engines then end the request.
    async fn wait_for_silence(&self, silence: &Silence) {
        let expired = async {
            // No value is ever sent; the channel is closed.
            let _ = silence.expiry.recv().await;
        };
        or(expired, self.watch(silence)).await;
    }

    async fn watch(&self, silence: &Silence) {
        let Silence {
            predicted,
            started,
            target,
            ..
        } = silence;
        let clock = &self.instance.clock;
        let may_retry = self.route.kind.is_repeatable()
            && self.ran.len() + usize::from(self.uncounted.is_some())
                < self.route.max_attempts as usize;
        if !may_retry {
            Timer::after(self.time_left()).await;
            return;
        }
        let is_stream = matches!(self.route.kind, RouteKind::Stream { .. });
        let patience = match is_stream {
            true => self.route.patience().mul_f64(SILENCE_SHARE),
            false => self.route.objective * OBJECTIVES_BEFORE_RETRY,
        };
        let end = (*started + patience).min(self.deadline);
        loop {
            let left = end.saturating_sub(clock.now());
            let step = match is_stream {
                true => left.min(*predicted + PROBE_AFTER),
                false => left,
            };
            Timer::after(step).await;
            if clock.now() >= end {
                return;
            }
            if !self.instance.targets.probe(target.address).await {
                self.instance.mark_unreachable(target);
                return;
            }
        }
    }
}
