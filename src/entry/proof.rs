//! What an answer proves about the request that was sent before it.

use http::StatusCode;

use super::platform::Reply;

/// Statuses that a target may give to a request that it did not run. With any other one, the statement is contradictory.
const REFUSALS: [StatusCode; 4] = [
    StatusCode::BAD_REQUEST,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Statuses by which a caller learns that its request was not run and will not be run.
const PROMISES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// The largest status that exists (RFC 9110, section 15). A larger one has no meaning that a caller could act on.
const MAX_STATUS: u16 = 599;

/// Which request an answer names.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Echo {
    /// None.
    Missing,
    /// Another one, or several.
    Other,
    /// The one that was sent.
    Same,
}

/// The parts of an answer that decide.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Evidence {
    /// The request that it names.
    pub echo: Echo,
    /// Whether the target states that it did not run the request.
    pub not_run: bool,
    /// Whether it carries a signature of the target.
    pub signed: bool,
    /// Status.
    pub status: StatusCode,
}

/// What an answer proves.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Verdict {
    /// It answers the request.
    Answer,
    /// It cannot be tied to the request, contradicts itself or has no final status that exists, so the request may have
    /// run.
    Foreign,
    /// The target has not run the request and will not.
    NotRun,
    /// The target gave a status that promises "not run", but did not state so.
    Unproven,
}

/// Safety rules of a verdict, all on; only verification turns them off.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Guards {
    /// An answer must name the request.
    pub echo: bool,
    /// A request that may run once is sent to each target at most once, so that no earlier refusal of it exists there.
    pub once_per_target: bool,
    /// A refusal must state that the request was not run.
    pub stated: bool,
    /// An answer must have a status that exists.
    pub status: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards {
            echo: true,
            once_per_target: true,
            stated: true,
            status: true,
        }
    }
}

impl Guards {
    /// Whether a target that refused a request may get it again. It may write the refusal once more, which would look
    /// like a refusal of the second send.
    pub const fn allow_resend(self, is_repeatable: bool) -> bool {
        is_repeatable || !self.once_per_target
    }
}

impl Evidence {
    /// The evidence of an answer to the request `id`.
    pub fn new(reply: &Reply, id: &str) -> Evidence {
        let echo = match &reply.requests[..] {
            [] => Echo::Missing,
            ids if ids.iter().all(|named| named == id) => Echo::Same,
            _ => Echo::Other,
        };
        Evidence {
            echo,
            not_run: reply.not_run,
            signed: reply.signed,
            status: reply.status,
        }
    }

    /// What this proves. A target may write an earlier answer once more, so only one that names the request counts.
    pub fn verdict(self, guards: Guards) -> Verdict {
        let is_tied = self.echo == Echo::Same || !guards.echo && self.echo == Echo::Missing;
        let exists = self.status.as_u16() <= MAX_STATUS || !guards.status;
        if !is_tied || !exists || self.status.is_informational() {
            return Verdict::Foreign;
        }
        if self.status.is_success() {
            // An unsigned success does not come from the target.
            return match self.signed && !self.not_run {
                true => Verdict::Answer,
                false => Verdict::Foreign,
            };
        }
        let is_stated = self.not_run || self.status == StatusCode::MISDIRECTED_REQUEST;
        if REFUSALS.contains(&self.status) && (is_stated || !guards.stated) {
            return Verdict::NotRun;
        }
        match PROMISES.contains(&self.status) || self.not_run {
            true => Verdict::Unproven,
            false => Verdict::Answer,
        }
    }
}
