use std::sync::Arc;
use std::time::Duration;

use jujubehook_http::http_types::{Request, Response};
use jujubehook_http::Peer;

use super::payload::{Endpoint, Payload};
use super::{answer, caller, error_response};
use crate::daemon::answer::{Answer, Completion};
use crate::daemon::state::{random_id, Admission, State};
use crate::error::{Error, Kind};
use crate::event;
use crate::event::hex;
use crate::id::tokens;
use crate::route::prefix_hashes;
use crate::target::Class;

/// Answers a completion request, streamed or in one body.
pub(super) async fn serve(
    state: &Arc<State>,
    mut request: Request,
    peer: &Peer,
    endpoint: Endpoint,
) -> Response {
    let start = state.clock.now();
    match admit(state, &mut request, endpoint).await {
        Ok((admission, completion, stream)) => {
            let exchange = answer::Exchange {
                _admission: admission,
                class: completion.class(),
                endpoint,
                id: completion.request,
                model: completion.model.clone(),
                prompt: tokens(completion.prompt.len()),
                start,
                state: state.clone(),
            };
            let answer = Answer::new(state, completion);
            if stream {
                answer::respond_streamed(exchange, answer, peer).await
            } else {
                answer::respond_whole(exchange, answer, peer).await
            }
        }
        Err(error) => {
            state
                .metrics
                .count_request(Class::Short.name(), 0, Some(error.kind()));
            event!(
                state.source,
                "refused",
                kind = error.kind().name(),
                reason = error.log_message()
            );
            error_response(&error)
        }
    }
}

/// Authenticates, reads and validates a request. The returned flag tells whether to stream the answer.
async fn admit(
    state: &Arc<State>,
    request: &mut Request,
    endpoint: Endpoint,
) -> Result<(Admission, Completion, bool), Error> {
    let start = state.clock.now();
    let workspace = caller::workspace(state, request)?;
    let limit: Duration = caller::deadline(state, request)?;
    let mut admission = state.admit()?;
    let bytes = caller::body(
        &mut admission,
        request,
        state.settings.limits.body_bytes,
        limit,
    )
    .await?;
    let payload = Payload::parse(&bytes)?;
    drop(bytes);
    state.fold().authorize(
        &workspace.name,
        payload.model(),
        payload.adapter(),
        payload.version(),
    )?;
    let max_tokens = payload.max_tokens(state.settings.limits.max_tokens)?;
    let adapter = payload.adapter().map(str::to_owned);
    let model = payload.model().to_owned();
    let stream = payload.is_stream();
    let text = payload.text(endpoint)?;
    let length = tokens(text.len());
    if workspace.max_prompt.is_some_and(|max| length > max) {
        let message = format!("the prompt has {length} tokens, more than the workspace allows");
        return Err(Error::new(Kind::TooLarge, message));
    }
    let completion = Completion {
        adapter,
        deadline: start + limit,
        max_tokens,
        model,
        prefix: prefix_hashes(&text),
        prompt: text,
        request: random_id(),
        weight: workspace.weight,
        workspace: workspace.name,
    };
    event!(
        state.source,
        "admitted",
        request = hex(completion.request),
        workspace = completion.workspace.as_str(),
        model = completion.model.as_str(),
        prompt_tokens = length,
        max_tokens = max_tokens,
        deadline_ms = limit.as_millis() as u64
    );
    Ok((admission, completion, stream))
}
