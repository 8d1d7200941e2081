use std::sync::Arc;
use std::time::Duration;

use jujubehook_http::http_types::{Request, Response};
use jujubehook_http::Peer;

use super::prompt::{Form, Prompt};
use super::{answer, caller, failed};
use crate::daemon::answer::{Answer, Question};
use crate::daemon::state::{unguessable, Active, State};
use crate::error::{Error, Kind};
use crate::event;
use crate::event::hex;
use crate::id::tokens;
use crate::route::prefix_hashes;
use crate::target::Class;

/// Answers a completion request, as a stream or whole.
pub(super) async fn serve(
    state: &Arc<State>,
    mut request: Request,
    peer: &Peer,
    form: Form,
) -> Response {
    let start = state.clock.now();
    match question(state, &mut request, form).await {
        Ok((active, question, stream)) => {
            let call = answer::Call {
                _active: active,
                class: question.class(),
                form,
                id: question.request,
                model: question.model.clone(),
                prompt: tokens(question.prompt.len()),
                start,
                state: state.clone(),
            };
            let answer = Answer::new(state, question);
            if stream {
                answer::streamed(call, answer, peer).await
            } else {
                answer::whole(call, answer, peer).await
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
            failed(&error)
        }
    }
}

async fn question(
    state: &Arc<State>,
    request: &mut Request,
    form: Form,
) -> Result<(Active, Question, bool), Error> {
    let start = state.clock.now();
    let workspace = caller::workspace(state, request)?;
    let limit: Duration = caller::deadline(state, request)?;
    let mut active = state.enter()?;
    let bytes = caller::body(
        &mut active,
        request,
        state.settings.limits.body_bytes,
        limit,
    )
    .await?;
    let prompt = Prompt::parse(&bytes)?;
    drop(bytes);
    state.fold().authorize(
        &workspace.name,
        prompt.model(),
        prompt.adapter(),
        prompt.version(),
    )?;
    let max_tokens = prompt.max_tokens(state.settings.limits.max_tokens)?;
    let adapter = prompt.adapter().map(str::to_owned);
    let model = prompt.model().to_owned();
    let stream = prompt.is_stream();
    let text = prompt.text(form)?;
    let length = tokens(text.len());
    if workspace.max_prompt.is_some_and(|max| length > max) {
        let message = format!("the prompt has {length} tokens, more than its workspace may send");
        return Err(Error::new(Kind::TooLarge, message));
    }
    let question = Question {
        adapter,
        deadline: start + limit,
        max_tokens,
        model,
        prefix: prefix_hashes(&text),
        prompt: text,
        request: unguessable(),
        weight: workspace.weight,
        workspace: workspace.name,
    };
    event!(
        state.source,
        "admitted",
        request = hex(question.request),
        workspace = question.workspace.as_str(),
        model = question.model.as_str(),
        prompt_tokens = length,
        max_tokens = max_tokens,
        deadline_ms = limit.as_millis() as u64
    );
    Ok((active, question, stream))
}
