//! Type aliases of ids and counters.

/// Unguessable id of one attempt of a request; formatted as 16 hexadecimal digits.
pub type AttemptId = u64;

/// Name of a failure domain.
pub type DomainId = String;

/// Number of a history of the log: it rises each time the log comes back from an older copy of itself.
pub type Era = u64;

/// Fencing number: the log offset at which a controller lease was recorded.
pub type Fence = u64;

/// Random number that identifies one run of a process.
pub type Incarnation = u64;

/// Name of an instance.
pub type InstanceId = String;

/// Name of a model.
pub type ModelId = String;

/// Position in a log stream, counted from 1; 0 means that nothing has been read yet.
pub type Offset = u64;

/// Id of a request, the same on all hops; formatted as 16 hexadecimal digits.
pub type RequestId = u64;

/// Name of a target.
pub type TargetId = String;

/// Number of tokens.
pub type Tokens = u64;

/// Name of a workspace.
pub type WorkspaceId = String;

/// Bytes of text that count as one token.
pub const TOKEN_BYTES: usize = 4;

/// Returns the number of tokens in `bytes` bytes of text, rounded up.
pub fn tokens(bytes: usize) -> Tokens {
    bytes.div_ceil(TOKEN_BYTES) as Tokens
}
