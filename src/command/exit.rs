use std::process::ExitCode;

/// Exit codes of the command-line tool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The command succeeded.
    Success = 0,
    /// The operation failed.
    Failure = 1,
    /// The arguments are invalid.
    Usage = 2,
    /// A record is invalid, was rejected or conflicts with another one.
    Conflict = 3,
    /// Records were accepted but are not in force everywhere in time.
    Timeout = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}
