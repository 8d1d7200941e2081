use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future::or;
use http::StatusCode;
use smol::Timer;

use super::outcome::{Opened, Outcome, Whole};
use super::{Exchange, Holding, RouteKind, GIVE_UP};
use crate::entry::border::{Call, Failure, Reply};
use crate::entry::reservation::Reservation;
use crate::entry::{Events, Helper, Placement, Target};
use crate::event;

/// Time past the predicted first event after which a silent target is asked for a new connection: several passes.
const QUIET: Duration = Duration::from_millis(250);

/// Longest time for which memory may be set aside for a request that does not start: it counts as forgotten after nine
/// seconds, and the last hold may outlive the request by three and a half.
const UNUSED: Duration = Duration::from_millis(5_000);

/// A repeatable request without a stream is sent again after this many objectives, if it may be.
const LATE: u32 = 3;

/// Largest body of an answer that is read whole before it is handed on, so that a broken one can be fetched anew.
const WHOLE_BYTES: usize = 256 << 10;

/// The targets that read a part, for the log: each of them can be the one that holds a prompt up.
fn names(helpers: &[Helper]) -> String {
    let names: Vec<&str> = helpers
        .iter()
        .map(|helper| helper.target.id.as_str())
        .collect();
    names.join(",")
}

impl Exchange {
    pub(super) async fn send(
        &self,
        placement: Placement,
        mut holding: Holding,
        resume: Option<u64>,
    ) -> Outcome {
        let instance = &self.instance;
        let now = instance.clock.now();
        let target = placement.first.clone();
        let helpers = &placement.helpers;
        let mut calls = Vec::with_capacity(helpers.len());
        for helper in helpers {
            let mut ticket = None;
            if helper.hold > 0 {
                let taken = Reservation::take(instance, &helper.target, helper.hold).await;
                let Some(reservation) = taken else {
                    return Outcome::NoMemory;
                };
                ticket = Some(reservation.ticket().to_owned());
                holding.reservations.push(reservation);
            }
            calls.push((helper.target.address, ticket));
        }
        instance.cold.borrow_mut().count(target.key(), now);
        event!(
            instance.source,
            "send",
            request = self.request.id.as_str(),
            route = self.route.name.as_str(),
            target = target.id.as_str(),
            attempt = self.sends,
            prompt = self.request.prompt.unwrap_or_default().tokens,
            helpers = names(helpers),
            part_ms = placement.part.as_millis() as u64,
            late = placement.background,
            predicted_ms = placement.wait.as_millis() as u64,
            left_ms = self.left().as_millis() as u64
        );
        let holds = !holding.reservations.is_empty();
        let call = Call {
            deadline: self.left(),
            helpers: calls,
            rank: self.rank,
            request: self.request.clone(),
            resume,
            target: target.clone(),
            workspace: self.workspace.clone(),
        };
        let exchange = async {
            match instance.targets.send(call).await {
                Ok(reply) => self.take(reply, holding, &target, resume).await,
                Err(failure) => Outcome::Failed(failure),
            }
        };
        let silence = async {
            self.silence(&target, placement.wait, holds).await;
            Outcome::Failed(Failure::Silent)
        };
        or(exchange, silence).await
    }

    /// Takes the head of an answer, and the whole body or the first event.
    async fn take(
        &self,
        mut reply: Reply,
        holding: Holding,
        target: &Rc<Target>,
        resume: Option<u64>,
    ) -> Outcome {
        if reply
            .request
            .as_ref()
            .is_some_and(|id| *id != self.request.id)
        {
            return Outcome::Failed(Failure::Broken);
        }
        if reply.not_run || reply.status == StatusCode::MISDIRECTED_REQUEST {
            return Outcome::NotRun(reply.fault);
        }
        // A success that the target does not vouch for is not its answer.
        if reply.status.is_success() && !reply.signed {
            return Outcome::Failed(Failure::Broken);
        }
        let is_stream = matches!(self.route.kind, RouteKind::Stream { .. });
        if !is_stream || !reply.status.is_success() {
            return match whole(&mut reply).await {
                Ok(body) => Outcome::Answered(Whole {
                    body,
                    headers: reply.headers,
                    status: reply.status,
                }),
                Err(failure) => Outcome::Failed(failure),
            };
        }
        let mut events = Events::after(resume);
        let mut first = Bytes::new();
        while first.is_empty() {
            first = match reply.body.next().await {
                Some(Ok(bytes)) => match events.push(&bytes) {
                    Ok(whole) => whole,
                    Err(failure) => return Outcome::Failed(failure),
                },
                Some(Err(failure)) => return Outcome::Failed(failure),
                None if events.is_whole() => break,
                None => return Outcome::Failed(Failure::Broken),
            };
        }
        holding.read();
        Outcome::Opened(Opened {
            body: reply.body,
            events,
            first,
            headers: reply.headers,
            holding,
            status: reply.status,
            target: target.clone(),
        })
    }

    /// Ends when the target has been silent for too long.
    async fn silence(&self, target: &Target, predicted: Duration, holds: bool) {
        let limit = if holds {
            self.left().min(UNUSED)
        } else {
            self.left()
        };
        let may_repeat = self.route.kind.is_repeatable() && self.runs + 1 < self.route.attempts;
        if !may_repeat {
            Timer::after(limit).await;
            return;
        }
        if !matches!(self.route.kind, RouteKind::Stream { .. }) {
            Timer::after((self.route.objective * LATE).min(limit)).await;
            return;
        }
        let patience = self.route.patience().mul_f64(GIVE_UP).min(limit);
        let mut waited = Duration::ZERO;
        while waited < patience {
            let step = (predicted + QUIET).min(patience - waited);
            Timer::after(step).await;
            waited += step;
            if waited < patience && !self.instance.targets.reach(target.address).await {
                self.instance.lost(target);
                return;
            }
        }
    }
}

async fn whole(reply: &mut Reply) -> Result<Bytes, Failure> {
    let mut body = Vec::new();
    while let Some(piece) = reply.body.next().await {
        body.extend_from_slice(&piece?);
        if body.len() > WHOLE_BYTES {
            return Err(Failure::Broken);
        }
    }
    Ok(Bytes::from(body))
}
