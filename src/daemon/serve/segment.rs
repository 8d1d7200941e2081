use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use smol::Timer;

use super::engine;
use super::submission::Submission;
use crate::daemon::client;
use crate::daemon::state::{random_id, State};
use crate::error::{Error, Kind};
use crate::event;
use crate::event::hex;
use crate::id::tokens;
use crate::remote::{Completion, Engine};
use crate::target::Request;
use crate::wire::Segment;

/// Time on top of the deadline in which the owner can still report that the deadline passed.
const FORWARD_GRACE: Duration = Duration::from_millis(300);

/// Prefills a segment of a long prompt into the handle of its part, directly if this instance owns the target, else
/// through the owner. Returns the ticket of the exported handle.
pub(crate) async fn segment(state: &Arc<State>, mut segment: Segment) -> Result<String, Error> {
    let limit = Duration::from_millis(segment.deadline_ms);
    let Some(peer) = state.route(&segment.target, segment.hops)? else {
        return future::or(local(state, &segment), async {
            Timer::after(limit).await;
            let message = "the deadline passed during the prefill";
            Err(Error::new(Kind::DeadlineExceeded, message))
        })
        .await;
    };
    segment.hops += 1;
    let limit = limit + FORWARD_GRACE;
    client::call(state, &peer, "/peer/prefill", &segment, limit).await
}

async fn local(state: &Arc<State>, segment: &Segment) -> Result<String, Error> {
    let target = &segment.target;
    let queue = state.queue(target);
    if !queue.uses(segment.part) {
        let message = format!("`{target}` has no reservation for the part");
        return Err(Error::new(Kind::Moved, message));
    }
    let address = state.address(target)?;
    let engine = Engine::new(&state.client, address);
    for ticket in &segment.imports {
        engine.import(ticket).await.map_err(|error| {
            let message = format!("`{target}` did not import a handle: {error}");
            Error::new(Kind::UpstreamFailed, message)
        })?;
    }
    let attempt = random_id();
    let submission = Submission::new(state, &queue, request(state, segment, attempt))?;
    let mut written = false;
    loop {
        // The segment may be dispatched in several chunks. Each extends the handle, so none may be sent again.
        let dispatch = submission
            .next_dispatch()
            .await
            .map_err(|error| after_chunk(written, error))?;
        let completion = completion(segment, attempt, &dispatch);
        event!(
            state.source,
            "dispatch_part",
            part = hex(segment.part),
            attempt = hex(attempt),
            target = target.as_str(),
            workspace = segment.workspace.as_str(),
            from = dispatch.from,
            to = dispatch.to
        );
        let stream = engine::send(state, &submission, target, address, &completion)
            .await
            .map_err(|error| after_chunk(written, error))?;
        written = true;
        engine::prefill(target, attempt, stream).await?;
        if dispatch.last {
            break;
        }
        submission.finish_chunk();
    }
    submission.first_token();
    submission.finish(true);
    engine.export(segment.part).await.map_err(|error| {
        let message = format!("`{target}` did not export a handle: {error}");
        Error::new(Kind::UpstreamFailed, message)
    })
}

/// After the first chunk a failure must not be reported as not executed.
fn after_chunk(written: bool, error: Error) -> Error {
    if written {
        return Error::new(Kind::UpstreamFailed, error.message());
    }
    error
}

fn completion(segment: &Segment, attempt: u64, dispatch: &crate::target::Dispatch) -> Completion {
    let part = format!("{:016x}", segment.part);
    let mut context: Vec<String> = segment
        .context
        .iter()
        .map(|handle| format!("{handle:016x}"))
        .collect();
    if segment.extend || dispatch.from > 0 {
        context.push(part.clone());
    }
    Completion {
        attempt: format!("{attempt:016x}"),
        context,
        handle: Some(part),
        model: segment.model.clone(),
        // Engines schedule the lowest number first, the scheduler here the highest.
        priority: -dispatch.priority,
        prompt: super::run::chunk(&segment.text, dispatch).to_owned(),
        stream: true,
        ..Completion::default()
    }
}

fn request(state: &State, segment: &Segment, attempt: u64) -> Request {
    Request {
        deadline: state.clock.now() + Duration::from_millis(segment.deadline_ms),
        held: true,
        id: attempt,
        max_tokens: 0,
        prefix: Vec::new(),
        prompt: tokens(segment.text.len()),
        weight: 1,
        workspace: segment.workspace.clone(),
    }
}
