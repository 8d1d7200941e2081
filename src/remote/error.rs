use quick_error::quick_error;

use crate::error::Executed;

quick_error! {
    /// Failure of a call to the platform, by whether the call may have taken effect.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The call had no effect.
        Refused(message: String) {
            display("refused: {message}")
        }
        /// The call may have taken effect.
        Unknown(message: String) {
            display("outcome unknown: {message}")
        }
    }
}

impl Error {
    /// Whether the call may have taken effect.
    pub fn executed(&self) -> Executed {
        match self {
            Error::Refused(_) => Executed::No,
            Error::Unknown(_) => Executed::Unknown,
        }
    }
}

impl From<jujubehook_http::Error> for Error {
    fn from(error: jujubehook_http::Error) -> Self {
        if error.is_unsent() {
            return Error::Refused(error.to_string());
        }
        Error::Unknown(error.to_string())
    }
}
