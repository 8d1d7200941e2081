use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use futures_lite::future::or;
use http::header::{HeaderValue, CONTENT_TYPE};
use http::StatusCode;

use super::attempt::Attempt;
use super::outcome::{Buffered, Opened, Outcome};
use super::{Exchange, InFlight, RouteKind};
use crate::entry::held::Kind;
use crate::entry::platform::{Call, Failure, Reply};
use crate::entry::proof::{Evidence, Guards, Verdict};
use crate::entry::reservation::{lost, Loss, Memory};
use crate::entry::{Events, Helper, Instance, Placement, Request, Route, Target};
use crate::event;
use crate::id::WorkspaceId;

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

/// One send of a request.
struct Delivery {
    /// Content type of the stream that the caller already has a part of.
    content_type: Option<HeaderValue>,
    deadline: Duration,
    /// Closed when memory of the request has expired; no value is ever sent.
    expired: Sender<Infallible>,
    instance: Rc<Instance>,
    last_event_id: Option<u64>,
    /// Number of this send of the request.
    number: u32,
    priority: u8,
    request: Rc<Request>,
    resumes: bool,
    route: Rc<Route>,
    workspace: Option<WorkspaceId>,
}

impl Exchange {
    /// Starts sending the request to its placement.
    pub(super) fn send(
        &self,
        placement: Placement,
        in_flight: InFlight,
        last_event_id: Option<u64>,
    ) -> Attempt {
        let (expired, expiry) = async_channel::bounded(1);
        let started = self.instance.clock.now();
        let (predicted, target) = (placement.wait, placement.primary.clone());
        let delivery = Delivery {
            content_type: self.content_type.clone(),
            deadline: self.deadline,
            expired,
            instance: self.instance.clone(),
            last_event_id,
            number: self.sends,
            priority: self.priority,
            request: self.request.clone(),
            resumes: self.resumes,
            route: self.route.clone(),
            workspace: self.workspace.clone(),
        };
        let outcome = async move { delivery.run(placement, in_flight).await };
        Attempt {
            expiry,
            is_counted: false,
            is_silent: false,
            number: self.sends,
            outcome: Box::pin(outcome),
            predicted,
            started,
            target,
        }
    }
}

impl Delivery {
    async fn run(&self, placement: Placement, mut in_flight: InFlight) -> Outcome {
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
        let time_left = self.deadline.saturating_sub(instance.clock.now());
        event!(
            instance.source,
            "send",
            request = self.request.id.as_str(),
            route = self.route.name.as_str(),
            target = target.id.as_str(),
            attempt = self.number,
            prompt = self.request.prompt.unwrap_or_default().tokens,
            helpers = ids(helpers),
            part_ms = placement.part_time.as_millis() as u64,
            late = placement.background,
            predicted_ms = placement.wait.as_millis() as u64,
            left_ms = time_left.as_millis() as u64
        );
        let (loss, number) = (in_flight.loss(), in_flight.number);
        let call = Call {
            deadline: time_left,
            helpers: helper_addresses,
            last_event_id: self.last_event_id,
            priority: self.priority,
            request: self.request.clone(),
            target: target.clone(),
            workspace: self.workspace.clone(),
        };
        let exchange = async {
            let upload = instance
                .uploads
                .start(target.key(), call.request.body.len());
            let answered = instance.targets.send(call).await;
            drop(upload);
            match answered {
                Ok(reply) => self.receive(reply, in_flight, &target).await,
                Err(failure) => Outcome::Failed(failure),
            }
        };
        let lost = async {
            match lost(loss.as_ref()).await {
                // The engines end the request if the memory has expired there too.
                Loss::Expired => {
                    let finished = instance.view.borrow_mut().finish(number);
                    if let Some(work) = finished {
                        instance.announce_end(&work);
                    }
                    self.expired.close();
                    std::future::pending().await
                }
                Loss::TargetGone | Loss::Unused => Outcome::Failed(Failure::Silent),
            }
        };
        or(exchange, lost).await
    }

    /// Checks the head of an answer, then reads the complete body or, for a stream, the first events.
    async fn receive(&self, mut reply: Reply, in_flight: InFlight, target: &Rc<Target>) -> Outcome {
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
            return match self.read_body(&mut reply).await {
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
        let mut events = Events::after(self.last_event_id).with_fields(reply.event_fields);
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
        Outcome::Opened(Box::new(Opened {
            body: reply.body,
            events,
            first,
            headers: reply.headers,
            in_flight,
            status: reply.status,
            target: target.clone(),
        }))
    }

    /// Whether an answer may continue the stream that the caller has a part of. A later error, or an answer of another
    /// type, is no part of it.
    fn continues(&self, reply: &Reply) -> bool {
        reply.status == StatusCode::OK
            && reply.headers.get(CONTENT_TYPE) == self.content_type.as_ref()
    }

    async fn read_body(&self, reply: &mut Reply) -> Result<Bytes, Failure> {
        let mut body = Vec::new();
        let mut held = self.instance.held.count(Kind::Answer);
        while let Some(chunk) = reply.body.next().await {
            let chunk = chunk?;
            body.extend_from_slice(&chunk);
            held.add(chunk.len());
            if body.len() > MAX_BUFFERED_BYTES {
                return Err(Failure::Broken);
            }
        }
        Ok(held.keep(Bytes::from(body)))
    }
}
