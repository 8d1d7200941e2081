use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use smol::Timer;

use super::engine;
use super::ticket::Ticket;
use crate::daemon::client;
use crate::daemon::state::{unguessable, State};
use crate::error::{Error, Kind};
use crate::event;
use crate::event::hex;
use crate::id::tokens;
use crate::remote::{Completion, Engine};
use crate::target::Request;
use crate::wire::Segment;

/// Time that other hops need on top of the deadline to report it themselves.
const FORWARD_GRACE: Duration = Duration::from_millis(300);

/// Prefills a piece of a long prompt into the handle of its part, here or at the target's owner, and returns the
/// exported handle.
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
    let slot = state.slot(target);
    if !slot.claims(segment.part) {
        let message = format!("`{target}` holds no memory for the part");
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
    let attempt = unguessable();
    let ticket = Ticket::new(state, &slot, request(state, segment, attempt))?;
    let mut written = false;
    loop {
        // The piece may go out in several chunks; each extends the handle, so that none may be sent again.
        let dispatch = ticket.turn().await.map_err(|error| spent(written, error))?;
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
        let stream = engine::send(state, &ticket, target, address, &completion)
            .await
            .map_err(|error| spent(written, error))?;
        written = true;
        engine::prefill(target, attempt, stream).await?;
        if dispatch.last {
            break;
        }
        ticket.finish_chunk();
    }
    ticket.first_token();
    ticket.finish(true);
    engine.export(segment.part).await.map_err(|error| {
        let message = format!("`{target}` did not export a handle: {error}");
        Error::new(Kind::UpstreamFailed, message)
    })
}

/// After a first chunk the piece as a whole cannot be said not to have been run.
fn spent(written: bool, error: Error) -> Error {
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
        // Engines take the lowest number first.
        priority: -dispatch.priority,
        prompt: super::run::piece(&segment.text, dispatch).to_owned(),
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
