use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future::or;
use smol::Timer;

use super::outcome::{Buffered, Opened, Outcome};
use super::{Exchange, InFlight, RouteKind, SILENCE_SHARE};
use crate::entry::platform::{Call, Failure, Reply};
use crate::entry::proof::{Evidence, Guards, Verdict};
use crate::entry::reservation::{lost, Memory};
use crate::entry::{Events, Helper, Placement, Target};
use crate::event;

/// Time past the predicted first event after which a silent target is probed by a new connection: several passes.
const PROBE_AFTER: Duration = Duration::from_millis(250);

/// A repeatable request without a stream is retried after this many objectives without an answer.
const OBJECTIVES_BEFORE_RETRY: u32 = 3;

/// Maximum size of an answer that is read completely before it is forwarded, so that a broken one can be retried.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Ids of the helpers for the log, since each of them can delay the prompt.
fn ids(helpers: &[Helper]) -> String {
    let ids: Vec<&str> = helpers
        .iter()
        .map(|helper| helper.target.id.as_str())
        .collect();
    ids.join(",")
}

impl Exchange {
    pub(super) async fn send(
        &self,
        placement: Placement,
        mut in_flight: InFlight,
        last_event_id: Option<u64>,
    ) -> Outcome {
        let instance = &self.instance;
        let now = instance.clock.now();
        let target = placement.primary.clone();
        let helpers = &placement.helpers;
        let shares = helpers.iter().filter(|helper| helper.reserved > 0);
        let shares = shares.map(|helper| (helper.target.clone(), helper.reserved));
        let shares: Vec<_> = shares.collect();
        if !shares.is_empty() {
            let acquired = Memory::acquire(instance, &target, shares).await;
            let Some(memory) = acquired else {
                return Outcome::NoMemory;
            };
            in_flight.memory = Some(memory);
        }
        let ticket = |helper: &Helper| {
            let memory = in_flight.memory.as_ref()?;
            memory.ticket(&helper.target).map(str::to_owned)
        };
        let helper_addresses = helpers
            .iter()
            .map(|helper| (helper.target.address, ticket(helper)))
            .collect();
        instance.cold_limiter.borrow_mut().count(target.key(), now);
        event!(
            instance.source,
            "send",
            request = self.request.id.as_str(),
            route = self.route.name.as_str(),
            target = target.id.as_str(),
            attempt = self.sends,
            prompt = self.request.prompt.unwrap_or_default().tokens,
            helpers = ids(helpers),
            part_ms = placement.part_time.as_millis() as u64,
            late = placement.background,
            predicted_ms = placement.wait.as_millis() as u64,
            left_ms = self.time_left().as_millis() as u64
        );
        let loss = in_flight.loss();
        let call = Call {
            deadline: self.time_left(),
            helpers: helper_addresses,
            last_event_id,
            priority: self.priority,
            request: self.request.clone(),
            target: target.clone(),
            workspace: self.workspace.clone(),
        };
        let exchange = async {
            match instance.targets.send(call).await {
                Ok(reply) => self.receive(reply, in_flight, &target, last_event_id).await,
                Err(failure) => Outcome::Failed(failure),
            }
        };
        let silence = async {
            let silence = self.wait_for_silence(&target, placement.wait);
            let lost = async {
                lost(loss.as_ref()).await;
            };
            or(silence, lost).await;
            Outcome::Failed(Failure::Silent)
        };
        or(exchange, silence).await
    }

    /// Checks the head of an answer, then reads the complete body or, for a stream, the first events.
    async fn receive(
        &self,
        mut reply: Reply,
        in_flight: InFlight,
        target: &Rc<Target>,
        last_event_id: Option<u64>,
    ) -> Outcome {
        let verdict = Evidence::new(&reply, &self.request.id).verdict(Guards::default());
        if verdict == Verdict::Foreign {
            return Outcome::Failed(Failure::Broken);
        }
        self.instance.apply_notice(target, reply.notice);
        match verdict {
            Verdict::Answer => {}
            Verdict::Foreign => return Outcome::Failed(Failure::Broken),
            Verdict::NotRun => return Outcome::NotRun(reply.fault),
            // The status would tell the caller that the request was not run.
            Verdict::Unproven if !self.route.kind.is_repeatable() => {
                return Outcome::Failed(Failure::Broken)
            }
            Verdict::Unproven => {}
        }
        let is_stream = matches!(self.route.kind, RouteKind::Stream { .. });
        if !is_stream || !reply.status.is_success() {
            return match read_body(&mut reply).await {
                Ok(body) => Outcome::Answered(Buffered {
                    body,
                    headers: reply.headers,
                    status: reply.status,
                }),
                Err(failure) => Outcome::Failed(failure),
            };
        }
        if self.resumes && !self.continues(&reply) {
            return Outcome::Failed(Failure::Broken);
        }
        let mut events = Events::after(last_event_id).with_fields(reply.event_fields);
        let mut first = Bytes::new();
        while first.is_empty() {
            first = match reply.body.next().await {
                Some(Ok(bytes)) => match events.push(&bytes) {
                    Ok(complete) => complete,
                    Err(failure) => return Outcome::Failed(failure),
                },
                Some(Err(failure)) => return Outcome::Failed(failure),
                // What is empty and ends with its connection may have been cut off.
                None if self.resumes && !reply.framed => return Outcome::Failed(Failure::Broken),
                None if events.is_whole() => break,
                None => return Outcome::Failed(Failure::Broken),
            };
        }
        in_flight.record_event();
        in_flight.finish_prefill();
        Outcome::Opened(Opened {
            body: reply.body,
            events,
            first,
            headers: reply.headers,
            in_flight,
            status: reply.status,
            target: target.clone(),
        })
    }

    /// Returns when the target has been silent for too long.
    async fn wait_for_silence(&self, target: &Target, predicted: Duration) {
        let limit = self.time_left();
        let may_retry = self.route.kind.is_repeatable()
            && self.ran.len() + 1 < self.route.max_attempts as usize;
        if !may_retry {
            Timer::after(limit).await;
            return;
        }
        if !matches!(self.route.kind, RouteKind::Stream { .. }) {
            Timer::after((self.route.objective * OBJECTIVES_BEFORE_RETRY).min(limit)).await;
            return;
        }
        let patience = self.route.patience().mul_f64(SILENCE_SHARE).min(limit);
        let mut waited = Duration::ZERO;
        while waited < patience {
            let step = (predicted + PROBE_AFTER).min(patience - waited);
            Timer::after(step).await;
            waited += step;
            if waited < patience && !self.instance.targets.probe(target.address).await {
                self.instance.mark_unreachable(target);
                return;
            }
        }
    }
}

async fn read_body(reply: &mut Reply) -> Result<Bytes, Failure> {
    let mut body = Vec::new();
    while let Some(chunk) = reply.body.next().await {
        body.extend_from_slice(&chunk?);
        if body.len() > MAX_BUFFERED_BYTES {
            return Err(Failure::Broken);
        }
    }
    Ok(Bytes::from(body))
}
