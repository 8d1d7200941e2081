use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use smol::Timer;

use super::handle::Handle;
use super::output::Output;
use super::submission::Submission;
use super::{engine, Queue};
use crate::daemon::state::{lock, State};
use crate::error::{Error, Kind};
use crate::event;
use crate::event::hex;
use crate::id::{tokens, TOKEN_BYTES};
use crate::remote::Completion;
use crate::target::{Class, Dispatch, Request};
use crate::wire::{Body, Run};

/// Runs a completion on an owned target and sends its frames; the last one is `End` or `Fail`.
pub(crate) async fn run(state: &Arc<State>, run: Run, mut output: Output) {
    let queue = state.queue(&run.target);
    let work = attempt(state, &queue, &run, &mut output);
    let limit = Duration::from_millis(run.deadline_ms);
    // This timer does not depend on the engine, so a hung engine cannot keep a request past its deadline.
    let outcome = future::or(work, async {
        Timer::after(limit).await;
        Err(Error::new(
            Kind::DeadlineExceeded,
            "the deadline passed while the request ran",
        ))
    })
    .await;
    if let Err(error) = outcome {
        event!(
            state.source,
            "attempt_failed",
            request = hex(run.request),
            attempt = hex(run.attempt),
            target = run.target.as_str(),
            kind = error.kind().name(),
            reason = error.log_message()
        );
        let load = queue.load(state.clock.now());
        output.fail(&error, Some(load)).await;
    }
}

async fn attempt(
    state: &Arc<State>,
    queue: &Arc<Queue>,
    run: &Run,
    output: &mut Output,
) -> Result<(), Error> {
    if !state.in_service(&run.target) {
        let message = format!("`{}` does not accept new work", run.target);
        return Err(Error::new(Kind::Moved, message));
    }
    let offered = state.clock.now();
    let class = Class::of(tokens(run.prompt.len())).name();
    let submission = Submission::new(state, queue, request(state, run))?;
    let mut handle = None;
    let mut started = false;
    loop {
        let dispatch = submission.next_dispatch().await?;
        let now = state.clock.now();
        if !started {
            let wait = now.saturating_sub(offered);
            state.metrics.observe_queue_wait(class, wait);
        }
        state.metrics.count_dispatch(queue.load(now).state.name());
        let address = state.address(&run.target)?;
        if !dispatch.last && handle.is_none() {
            handle = Some(Handle::new(state, address, run.attempt));
        }
        let completion = completion(run, &dispatch, handle.is_some());
        event!(
            state.source,
            "dispatch",
            request = hex(run.request),
            attempt = hex(run.attempt),
            target = run.target.as_str(),
            workspace = run.workspace.as_str(),
            from = dispatch.from,
            to = dispatch.to
        );
        let stream = engine::send(state, &submission, &run.target, address, &completion).await?;
        // Sent with the first chunk, so that the receiver does not take a failure between two chunks for a request that
        // was not run.
        if !started {
            let load = queue.load(state.clock.now());
            output.send(Body::Start { load }).await?;
            started = true;
        }
        if !dispatch.last {
            engine::prefill(&run.target, run.attempt, stream).await?;
            submission.finish_chunk();
            continue;
        }
        let end = engine::relay(state, address, run, &submission, stream, output).await?;
        submission.finish(true);
        lock(&state.outliers).record(&run.target, true, state.clock.now());
        let load = queue.load(state.clock.now());
        let body = Body::End {
            cached: end.cached,
            count: end.count,
            load,
            target: run.target.clone(),
        };
        return output.send(body).await;
    }
}

fn completion(run: &Run, dispatch: &Dispatch, chunked: bool) -> Completion {
    let mut context: Vec<String> = run.context.iter().map(|id| format!("{id:016x}")).collect();
    if chunked && dispatch.from > 0 {
        context.push(format!("{:016x}", run.attempt));
    }
    Completion {
        adapter: run.adapter.clone(),
        attempt: format!("{:016x}", run.attempt),
        context,
        handle: chunked.then(|| format!("{:016x}", run.attempt)),
        max_tokens: if dispatch.last { run.max_tokens } else { 0 },
        model: run.model.clone(),
        // Engines schedule the lowest number first, the scheduler here the highest.
        priority: -dispatch.priority,
        prompt: chunk(&run.prompt, dispatch).to_owned(),
        stream: true,
    }
}

/// Returns the text of the chunk of the prompt that is dispatched.
pub(super) fn chunk<'a>(text: &'a str, dispatch: &Dispatch) -> &'a str {
    let start = boundary(text, dispatch.from as usize * TOKEN_BYTES);
    let end = if dispatch.last {
        text.len()
    } else {
        boundary(text, dispatch.to as usize * TOKEN_BYTES)
    };
    &text[start..end]
}

/// Returns the last character boundary at or before byte `position`.
pub(crate) fn boundary(text: &str, position: usize) -> usize {
    let mut position = position.min(text.len());
    while !text.is_char_boundary(position) {
        position -= 1;
    }
    position
}

fn request(state: &State, run: &Run) -> Request {
    Request {
        deadline: state.clock.now() + Duration::from_millis(run.deadline_ms),
        // Only the last part of a gang has a context; it decodes within the gang's reservation.
        held: !run.context.is_empty(),
        id: run.attempt,
        max_tokens: run.max_tokens,
        prefix: run.prefix.clone(),
        prompt: tokens(run.prompt.len()),
        weight: run.weight,
        workspace: run.workspace.clone(),
    }
}
