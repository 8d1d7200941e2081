use std::sync::Arc;

use async_channel::Receiver;
use jujubehook_http::http_types::Response;
use smol::Task;

use super::client;
use super::serve::{self, Output};
use super::state::State;
use crate::error::{Error, Kind};
use crate::event;
use crate::event::hex;
use crate::remote::Member;
use crate::wire::{self, Body, Frame, Run, Validator};

/// Frames that are buffered between the task of a local attempt and its reader.
const FRAME_BUFFER: usize = 64;

/// Receiver of the frames of one attempt, which runs on this instance or another one. Dropping it cancels the attempt.
pub(crate) struct Frames {
    validator: Validator,
    source: Source,
}

enum Source {
    Local {
        receiver: Receiver<Frame>,
        _task: Task<()>,
    },
    Remote(Box<Response>),
}

impl Frames {
    /// Starts an attempt at the target's owner.
    pub(crate) async fn open(state: &Arc<State>, mut run: Run) -> Result<Self, Error> {
        let validator = Validator::new(run.attempt, run.start);
        let source = match state.route(&run.target, run.hops)? {
            None => local(state, run),
            Some(peer) => {
                run.hops += 1;
                remote(state, &peer, &run).await?
            }
        };
        Ok(Self { validator, source })
    }

    /// Receives the body of the next frame; a stream that closes without `End` or `Fail` is an error.
    pub(crate) async fn next(&mut self, state: &State) -> Result<Body, Error> {
        let frame = match &mut self.source {
            Source::Local { receiver, .. } => receiver.recv().await.ok(),
            Source::Remote(response) => wire::read_frame(response).await?,
        };
        let Some(frame) = frame else {
            let message = "the stream closed without a final frame";
            return Err(Error::new(Kind::UpstreamFailed, message));
        };
        self.validator.accept(&frame)?;
        state.clock.merge(frame.time);
        Ok(frame.body)
    }
}

fn local(state: &Arc<State>, run: Run) -> Source {
    let (sender, receiver) = async_channel::bounded(FRAME_BUFFER);
    let output = Output::new(run.attempt, state.clock.clone(), sender);
    let state = state.clone();
    let task = smol::spawn(async move { serve::run(&state, run, output).await });
    Source::Local {
        receiver,
        _task: task,
    }
}

async fn remote(state: &Arc<State>, peer: &Member, run: &Run) -> Result<Source, Error> {
    let connection = client::connect(state, peer)
        .await
        .map_err(|error| Error::new(Kind::Moved, error.message()))?;
    let request = client::request(state, peer, "/peer/run", run)?;
    event!(
        state.source,
        "forward",
        request = hex(run.request),
        attempt = hex(run.attempt),
        target = run.target.as_str(),
        peer = peer.id.as_str()
    );
    state.metrics.count_forward();
    let response = connection
        .send(request)
        .await
        .map_err(|error| client::connection_lost(peer, &error))?;
    client::accept(state, peer, &response)?;
    Ok(Source::Remote(Box::new(response)))
}
