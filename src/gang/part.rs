use crate::id::{TargetId, Tokens};

/// One engine of a gang, and the memory held there.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Part {
    /// The target.
    pub target: TargetId,
    /// Memory to hold. The last part holds the generated tokens as well as its segment of the prompt.
    pub tokens: Tokens,
}
