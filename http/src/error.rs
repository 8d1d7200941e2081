use quick_error::quick_error;

quick_error! {
    /// Failures of a request, told apart by whether a byte may have reached the other side.
    #[derive(Debug)]
    pub enum Error {
        /// The peer closed the body, or the reader of a pipe is gone.
        Closed {
            display("connection closed")
        }
        /// The connection could not be opened; no byte was written.
        Connect(address: String, source: std::io::Error) {
            display("cannot connect to `{address}`: {source}")
        }
        /// The exchange failed after the request was started; the other side may have seen it.
        Exchange(message: String) {
            display("exchange failed: {message}")
        }
        /// The body is not valid JSON of the expected shape.
        Json(source: serde_json::Error) {
            display("invalid JSON: {source}")
            from()
        }
        /// The exchange did not end in time; the other side may have seen it.
        Timeout {
            display("timed out")
        }
        /// The body is larger than the limit in bytes.
        TooLarge(limit: usize) {
            display("body exceeds the limit of {limit} bytes")
        }
    }
}

impl Error {
    /// Whether no byte of the request can have reached the other side.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Error::Connect(..))
    }
}
