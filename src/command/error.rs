use quick_error::quick_error;

use super::Exit;

quick_error! {
    /// Why a command ended without success.
    #[derive(Debug)]
    pub enum Error {
        /// A record is rejected or conflicts with another one.
        Conflict(message: String) {
            display("{message}")
        }
        /// Something failed.
        Failed(message: String) {
            display("{message}")
        }
        /// The help text was asked for.
        Help {
            display("help")
        }
        /// Records are accepted but not in force everywhere in time.
        Late(message: String) {
            display("{message}")
        }
        /// The arguments are wrong.
        Usage(message: String) {
            display("{message}; see `--help`")
        }
    }
}

impl Error {
    /// The exit code.
    pub fn exit(&self) -> Exit {
        match self {
            Error::Conflict(_) => Exit::Conflict,
            Error::Failed(_) => Exit::Failure,
            Error::Help => Exit::Success,
            Error::Late(_) => Exit::Late,
            Error::Usage(_) => Exit::Usage,
        }
    }
}

impl From<lexopt::Error> for Error {
    fn from(error: lexopt::Error) -> Self {
        Error::Usage(error.to_string())
    }
}
