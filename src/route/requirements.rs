use crate::id::{DomainId, TargetId, Tokens};
use crate::target::Class;

/// What a request requires of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Requirements {
    /// Length class of the prompt.
    pub class: Class,
    /// Domain whose targets are preferred.
    pub domain: DomainId,
    /// Maximum number of tokens to generate.
    pub max_tokens: Tokens,
    /// Hashes of the leading blocks of the prompt.
    pub prefix: Vec<u64>,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Targets that have failed or refused this request.
    pub tried: Vec<TargetId>,
}
