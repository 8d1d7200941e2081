use quick_error::quick_error;

use super::Exit;

quick_error! {
    /// Why a command did not succeed.
    #[derive(Debug)]
    pub enum Error {
        /// A record is invalid, was rejected or conflicts with another one.
        Conflict(message: String) {
            display("{message}")
        }
        /// The operation failed.
        Failed(message: String) {
            display("{message}")
        }
        /// The help text was requested.
        Help {
            display("help")
        }
        /// Records were accepted but are not in force everywhere in time.
        Timeout(message: String) {
            display("{message}")
        }
        /// The arguments are invalid.
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
            Error::Timeout(_) => Exit::Timeout,
            Error::Usage(_) => Exit::Usage,
        }
    }
}

impl From<lexopt::Error> for Error {
    fn from(error: lexopt::Error) -> Self {
        Error::Usage(error.to_string())
    }
}
