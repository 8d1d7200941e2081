use std::sync::Arc;

use jujubehook_http::http_types::{mime, Request, Response, StatusCode};

use super::{caller, error_response};
use crate::daemon::state::{random_id, Admission, State};
use crate::daemon::{calls, once};
use crate::error::{Error, Kind};
use crate::event;
use crate::event::hex;
use crate::target::Class;
use crate::wire::{Call, Reply};

const KEY_HEADER: &str = "idempotency-key";

const PATH_PREFIX: &str = "/v1/services/";

/// Splits `/v1/services/<service>/<call>` into the names of service and call.
pub(super) fn split(path: &str) -> Option<(&str, &str)> {
    let (service, call) = path.strip_prefix(PATH_PREFIX)?.split_once('/')?;
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let valid = |name: &str| !name.is_empty() && name.chars().all(plain);
    (valid(service) && valid(call)).then_some((service, call))
}

/// Answers a call to a plain service.
pub(super) async fn serve(
    state: &Arc<State>,
    mut request: Request,
    service: &str,
    name: &str,
) -> Response {
    let start = state.clock.now();
    let outcome = match admit(state, &mut request, service, name).await {
        Ok((admission, call)) => {
            let outcome = run(state, call).await;
            drop(admission);
            outcome
        }
        Err(error) => Err(error),
    };
    let kind = outcome.as_ref().err().map(Error::kind);
    state.metrics.count_request(Class::Short.name(), 0, kind);
    event!(
        state.source,
        "call_ended",
        service = service,
        call = name,
        outcome = kind.map_or("ok", Kind::name),
        reason = outcome.as_ref().err().map_or("", Error::log_message),
        elapsed_ms = state.clock.now().saturating_sub(start).as_millis() as u64
    );
    match outcome {
        Ok(reply) => response(&reply),
        Err(error) => error_response(&error),
    }
}

async fn run(state: &Arc<State>, call: Call) -> Result<Reply, Error> {
    if call.key.is_some() {
        // The outcome of an at-most-once call is recorded even if its caller has disconnected.
        return once::run(state, call).await;
    }
    // A service cannot cancel a call, so the call counts as running until the service answers.
    calls::dispatch(state, call, || Ok(())).await
}

/// Authenticates, reads and validates a call.
async fn admit(
    state: &Arc<State>,
    request: &mut Request,
    service: &str,
    name: &str,
) -> Result<(Admission, Call), Error> {
    let workspace = caller::workspace(state, request)?;
    let limit = caller::deadline(state, request)?;
    let mut admission = state.admit()?;
    let key = request
        .header(KEY_HEADER)
        .map(|values| values.last().as_str().to_owned());
    let body = caller::body(
        &mut admission,
        request,
        state.settings.limits.body_bytes,
        limit,
    )
    .await?;
    let body = String::from_utf8(body)
        .map_err(|_| Error::new(Kind::BadRequest, "the body is not UTF-8"))?;
    let fold = state.fold();
    let repeatable = !fold
        .service(service)
        .is_some_and(|record| record.at_most_once.iter().any(|once| once == name));
    if !repeatable && key.is_none() {
        let message =
            format!("`{service}/{name}` runs at most once and needs the header `Idempotency-Key`");
        return Err(Error::new(Kind::BadRequest, message));
    }
    let call = Call {
        attempt: 0,
        body,
        deadline_ms: limit.as_millis() as u64,
        hops: 0,
        key,
        name: name.to_owned(),
        request: random_id(),
        service: service.to_owned(),
        target: None,
        workspace: workspace.name,
    };
    event!(
        state.source,
        "call_admitted",
        request = hex(call.request),
        workspace = call.workspace.as_str(),
        service = service,
        call = name,
        once = call.key.is_some()
    );
    Ok((admission, call))
}

fn response(reply: &Reply) -> Response {
    let status = StatusCode::try_from(reply.status).unwrap_or(StatusCode::BadGateway);
    let mut response = Response::new(status);
    response.set_body(reply.body.as_str());
    response.set_content_type(mime::JSON);
    response
}
