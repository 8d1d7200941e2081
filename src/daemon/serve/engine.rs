use std::net::SocketAddr;
use std::sync::Arc;

use jujubehook_http::{with_timeout, Error as HttpError};

use super::connect::{connect, mark_unreachable};
use super::output::Output;
use super::submission::Submission;
use crate::daemon::state::State;
use crate::error::{Error, Kind};
use crate::id::{AttemptId, TargetId};
use crate::remote::{self, Completion, Engine};
use crate::wire::{Body, Run};

/// Times that one stream is resumed after a lost connection.
const RESUME_LIMIT: u32 = 3;

/// Data of the last event of a stream.
const STREAM_END: &str = "[DONE]";

/// Counts that the engine reports at the end of a stream.
pub(super) struct End {
    pub(super) cached: u64,
    pub(super) count: u64,
}

/// Connects to the engine, with a last check that it may get work, and starts a completion.
pub(super) async fn send(
    state: &Arc<State>,
    submission: &Submission,
    target: &TargetId,
    address: SocketAddr,
    completion: &Completion,
) -> Result<remote::Stream, Error> {
    let connection = connect(state, target, address).await?;
    submission.set_engine(address);
    let engine = Engine::new(&state.client, address);
    let stream = engine
        .complete(connection, completion)
        .await
        .map_err(|error| connection_lost(target, &error))?;
    state
        .queue(target)
        .observe_reply(state, stream.boot, stream.cold);
    if stream.status != 200 {
        submission.clear_engine();
    }
    match stream.status {
        200 => Ok(stream),
        429 => Err(Error::new(
            Kind::Overloaded,
            format!("`{target}` has no free memory"),
        )),
        status @ (404 | 503) => Err(Error::new(
            Kind::Unavailable,
            format!("`{target}` answered with status {status}"),
        )),
        status => Err(Error::new(
            Kind::UpstreamFailed,
            format!("`{target}` answered with status {status}"),
        )),
    }
}

/// Waits for the end of a stream that generates no tokens.
pub(super) async fn prefill(
    target: &str,
    attempt: AttemptId,
    mut stream: remote::Stream,
) -> Result<End, Error> {
    loop {
        match next_event(&mut stream, attempt).await {
            Ok(Some(event)) if event.finish.is_some() => return Ok(end(&event)),
            Ok(Some(_)) => {}
            Ok(None) => return Err(truncated(target)),
            Err(error) => return Err(connection_lost(target, &error)),
        }
    }
}

/// Relays the tokens of a stream. After a lost connection it resumes the stream if the engine still has it.
pub(super) async fn relay(
    state: &Arc<State>,
    address: SocketAddr,
    run: &Run,
    submission: &Submission,
    mut stream: remote::Stream,
    output: &mut Output,
) -> Result<End, Error> {
    let mut next = 0;
    let mut resumes = 0;
    loop {
        let error = match read(state, run, submission, &mut stream, &mut next, output).await {
            Ok(end) if end.count == next => {
                return Ok(end);
            }
            Ok(_) => truncated(&run.target),
            Err(error) if error.kind() == Kind::UpstreamFailed => error,
            Err(error) => return Err(error),
        };
        resumes += 1;
        if resumes > RESUME_LIMIT {
            return Err(error);
        }
        stream = match resume(state, address, run, next).await {
            Some(stream) => stream,
            None => {
                mark_unreachable(state, &run.target);
                return Err(error);
            }
        };
    }
}

async fn read(
    state: &Arc<State>,
    run: &Run,
    submission: &Submission,
    stream: &mut remote::Stream,
    next: &mut u64,
    output: &mut Output,
) -> Result<End, Error> {
    loop {
        let wait = async { next_event(stream, run.attempt).await };
        // The wait for the first token includes the prefill and is bounded only by the deadline.
        let event = if *next == 0 {
            wait.await
        } else {
            with_timeout(state.settings.network.stall, wait).await
        };
        let event = match event {
            Ok(Some(event)) => event,
            Ok(None) => return Err(truncated(&run.target)),
            Err(HttpError::Timeout) => {
                let message = format!("`{}` sent no token within the stall timeout", run.target);
                return Err(Error::new(Kind::Stalled, message));
            }
            Err(error) => return Err(connection_lost(&run.target, &error)),
        };
        if event.finish.is_some() {
            return Ok(end(&event));
        }
        if event.index < *next {
            continue;
        }
        if event.index > *next {
            return Err(truncated(&run.target));
        }
        if *next == 0 {
            submission.first_token();
        }
        *next += 1;
        let index = run.start.checked_add(event.index);
        let body = Body::Token {
            index: index.ok_or_else(|| truncated(&run.target))?,
            text: event.text,
        };
        output.send(body).await?;
    }
}

async fn resume(
    state: &Arc<State>,
    address: SocketAddr,
    run: &Run,
    next: u64,
) -> Option<remote::Stream> {
    let engine = Engine::new(&state.client, address);
    let stream = engine.resume(run.attempt, next).await.ok()?;
    (stream.status == 200).then_some(stream)
}

/// Reads the next event of the attempt and skips events of other attempts.
async fn next_event(
    stream: &mut remote::Stream,
    attempt: AttemptId,
) -> Result<Option<remote::Event>, HttpError> {
    let name = format!("{attempt:016x}");
    while let Some(data) = stream.events.next().await? {
        if data == STREAM_END {
            return Ok(None);
        }
        let event: remote::Event = serde_json::from_str(&data)?;
        if event.attempt == name {
            return Ok(Some(event));
        }
    }
    Ok(None)
}

fn truncated(target: &str) -> Error {
    Error::new(
        Kind::UpstreamFailed,
        format!("`{target}` sent an incomplete stream"),
    )
}

fn end(event: &remote::Event) -> End {
    End {
        cached: event.cached,
        count: event.count.unwrap_or_default(),
    }
}

fn connection_lost(target: &str, error: &HttpError) -> Error {
    Error::new(
        Kind::UpstreamFailed,
        format!("lost the connection to `{target}`: {error}"),
    )
}
