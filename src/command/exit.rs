use std::process::ExitCode;

/// Exit codes of the command line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// Everything was done.
    Success = 0,
    /// Something failed.
    Failure = 1,
    /// The arguments are wrong.
    Usage = 2,
    /// A record is rejected or conflicts with another one.
    Conflict = 3,
    /// Records are accepted but not in force everywhere in time.
    Late = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}
