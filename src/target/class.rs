use serde::{Deserialize, Serialize};

use crate::id::Tokens;

/// Length class of a prompt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Class {
    /// More than [`Class::MEDIUM_MAX`] tokens.
    Long,
    /// More than [`Class::SHORT_MAX`] and at most [`Class::MEDIUM_MAX`] tokens.
    Medium,
    /// At most [`Class::SHORT_MAX`] tokens.
    Short,
}

impl Class {
    /// Tokens of the longest medium prompt.
    pub const MEDIUM_MAX: Tokens = 32_000;
    /// Tokens of the longest short prompt.
    pub const SHORT_MAX: Tokens = 8_000;

    /// Class of a prompt of `prompt` tokens.
    pub const fn of(prompt: Tokens) -> Class {
        if prompt > Class::MEDIUM_MAX {
            return Class::Long;
        }
        if prompt > Class::SHORT_MAX {
            return Class::Medium;
        }
        Class::Short
    }

    /// Name in reports and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Class::Long => "long",
            Class::Medium => "medium",
            Class::Short => "short",
        }
    }

    /// Priority sent to the engine; a higher number is more urgent.
    pub const fn priority(self) -> i32 {
        match self {
            Class::Long => 0,
            Class::Medium => 1,
            Class::Short => 2,
        }
    }
}
