use serde::{Deserialize, Serialize};

/// Whether a request may have been executed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// No byte of it reached a target.
    No,
    /// It may have been executed, in whole or in part.
    Unknown,
}

/// Defines [`Kind`] and its properties from one row per kind.
macro_rules! kinds {
    ($($(#[doc = $doc:literal])* $kind:ident $name:literal $status:literal $executed:ident $retry:literal;)*) => {
        /// Kinds of the errors that an instance returns.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Kind {
            $($(#[doc = $doc])* $kind,)*
        }

        impl Kind {
            /// All kinds, in alphabetical order.
            pub const ALL: &'static [Kind] = &[$(Kind::$kind,)*];

            /// Whether the request may have been executed.
            pub const fn executed(self) -> Executed {
                match self { $(Kind::$kind => Executed::$executed,)* }
            }

            /// Name in responses, logs and metrics.
            pub const fn name(self) -> &'static str {
                match self { $(Kind::$kind => $name,)* }
            }

            /// Whether the same request may succeed later or elsewhere.
            pub const fn retriable(self) -> bool {
                match self { $(Kind::$kind => $retry,)* }
            }

            /// HTTP status code of the response.
            pub const fn status(self) -> u16 {
                match self { $(Kind::$kind => $status,)* }
            }
        }
    };
}

kinds! {
    /// The request is malformed.
    BadRequest "bad_request" 400 No false;
    /// The caller closed the connection.
    Cancelled "cancelled" 499 Unknown false;
    /// The deadline passed while the request was running.
    DeadlineExceeded "deadline_exceeded" 504 Unknown false;
    /// The deadline cannot be met.
    DeadlineRefused "deadline_refused" 503 No true;
    /// The workspace is not granted the model, adapter or version.
    Forbidden "forbidden" 403 No false;
    /// Targets crashed at a fragment of the prompt.
    FragmentBanned "fragment_banned" 422 No false;
    /// An internal error of this process.
    Internal "internal" 500 Unknown false;
    /// The idempotency key has expired or has a time in the future.
    KeyExpired "key_expired" 409 No false;
    /// Between instances only: the target has another owner or is no longer in service.
    Moved "moved" 503 No true;
    /// The outcome of a call that must not be repeated is unknown.
    OutcomeUnknown "outcome_unknown" 502 Unknown false;
    /// A limit is reached.
    Overloaded "overloaded" 429 No true;
    /// No progress within the stall timeout.
    Stalled "stalled" 504 Unknown false;
    /// The request is larger than allowed.
    TooLarge "too_large" 413 No false;
    /// The key of the caller is missing or unknown.
    Unauthorized "unauthorized" 401 No false;
    /// No target can accept the request now.
    Unavailable "unavailable" 503 No true;
    /// No target serves the model.
    UnknownModel "unknown_model" 404 No false;
    /// There is no such service.
    UnknownService "unknown_service" 404 No false;
    /// The target failed after the first byte.
    UpstreamFailed "upstream_failed" 502 Unknown false;
}
