use std::net::SocketAddr;
use std::sync::Arc;

use jujubehook_http::{with_timeout, Error as HttpError};

use super::connect::{connect, unreachable};
use super::output::Output;
use super::ticket::Ticket;
use crate::daemon::state::State;
use crate::error::{Error, Kind};
use crate::id::{AttemptId, TargetId};
use crate::remote::{self, Completion, Engine};
use crate::wire::{Body, Run};

/// Times that one stream is resumed after a lost connection.
const RESUMES: u32 = 3;

const FINISHED: &str = "[DONE]";

/// What the engine says at the end of a stream.
pub(super) struct End {
    pub(super) cached: u64,
    pub(super) count: u64,
}

/// Writes a completion to the engine, after a last check that the target may get it.
pub(super) async fn send(
    state: &Arc<State>,
    ticket: &Ticket,
    target: &TargetId,
    address: SocketAddr,
    completion: &Completion,
) -> Result<remote::Stream, Error> {
    let connection = connect(state, target, address).await?;
    ticket.sent(address);
    let engine = Engine::new(&state.client, address);
    let stream = engine
        .complete(connection, completion)
        .await
        .map_err(|error| lost(target, &error))?;
    state
        .slot(target)
        .set_warmth(state, stream.boot, stream.cold);
    if stream.status != 200 {
        ticket.returned();
    }
    match stream.status {
        200 => Ok(stream),
        429 => Err(Error::new(
            Kind::Overloaded,
            format!("`{target}` is out of memory"),
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

/// Waits for the end of a stream that only prefills.
pub(super) async fn prefill(
    target: &str,
    attempt: AttemptId,
    mut stream: remote::Stream,
) -> Result<End, Error> {
    loop {
        match event(&mut stream, attempt).await {
            Ok(Some(event)) if event.finish.is_some() => return Ok(end(&event)),
            Ok(Some(_)) => {}
            Ok(None) => return Err(cut(target)),
            Err(error) => return Err(lost(target, &error)),
        }
    }
}

/// Relays the tokens of a stream; a lost connection is resumed while the engine still has the stream.
pub(super) async fn relay(
    state: &Arc<State>,
    address: SocketAddr,
    run: &Run,
    ticket: &Ticket,
    mut stream: remote::Stream,
    output: &mut Output,
) -> Result<End, Error> {
    let mut next = 0;
    let mut resumes = 0;
    loop {
        let fault = match read(state, run, ticket, &mut stream, &mut next, output).await {
            Ok(end) if end.count == next => {
                return Ok(end);
            }
            Ok(_) => cut(&run.target),
            Err(error) if error.kind() == Kind::UpstreamFailed => error,
            Err(error) => return Err(error),
        };
        resumes += 1;
        if resumes > RESUMES {
            return Err(fault);
        }
        stream = match resume(state, address, run, next).await {
            Some(stream) => stream,
            None => {
                unreachable(state, &run.target);
                return Err(fault);
            }
        };
    }
}

async fn read(
    state: &Arc<State>,
    run: &Run,
    ticket: &Ticket,
    stream: &mut remote::Stream,
    next: &mut u64,
    output: &mut Output,
) -> Result<End, Error> {
    loop {
        let wait = async { event(stream, run.attempt).await };
        // Before the first token only the deadline bounds the wait, which includes the prefill.
        let event = if *next == 0 {
            wait.await
        } else {
            with_timeout(state.settings.network.stall, wait).await
        };
        let event = match event {
            Ok(Some(event)) => event,
            Ok(None) => return Err(cut(&run.target)),
            Err(HttpError::Timeout) => {
                let message = format!("`{}` sent no token in time", run.target);
                return Err(Error::new(Kind::Stalled, message));
            }
            Err(error) => return Err(lost(&run.target, &error)),
        };
        if event.finish.is_some() {
            return Ok(end(&event));
        }
        if event.index < *next {
            continue;
        }
        if event.index > *next {
            return Err(cut(&run.target));
        }
        if *next == 0 {
            ticket.first_token();
        }
        *next += 1;
        let index = run.start.checked_add(event.index);
        let body = Body::Token {
            index: index.ok_or_else(|| cut(&run.target))?,
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

/// The next event of the attempt; events of other attempts are dropped.
async fn event(
    stream: &mut remote::Stream,
    attempt: AttemptId,
) -> Result<Option<remote::Event>, HttpError> {
    let name = format!("{attempt:016x}");
    while let Some(data) = stream.events.next().await? {
        if data == FINISHED {
            return Ok(None);
        }
        let event: remote::Event = serde_json::from_str(&data)?;
        if event.attempt == name {
            return Ok(Some(event));
        }
    }
    Ok(None)
}

fn cut(target: &str) -> Error {
    Error::new(
        Kind::UpstreamFailed,
        format!("`{target}` ended the stream before its end"),
    )
}

fn end(event: &remote::Event) -> End {
    End {
        cached: event.cached,
        count: event.count.unwrap_or_default(),
    }
}

fn lost(target: &str, error: &HttpError) -> Error {
    Error::new(
        Kind::UpstreamFailed,
        format!("lost the connection to `{target}`: {error}"),
    )
}
