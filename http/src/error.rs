use quick_error::quick_error;

quick_error! {
    /// Errors of an HTTP exchange, distinguished by whether the server may have received a part of the request.
    #[derive(Debug)]
    pub enum Error {
        /// The peer closed the connection, or the reader of a pipe was dropped.
        Closed {
            display("connection closed")
        }
        /// The connection could not be opened; no byte was written.
        Connect(address: String, source: std::io::Error) {
            display("cannot connect to `{address}`: {source}")
        }
        /// The exchange failed after the request was started; the server may have received it.
        Exchange(message: String) {
            display("exchange failed: {message}")
        }
        /// The body is not valid JSON of the expected shape.
        Json(source: serde_json::Error) {
            display("invalid JSON: {source}")
            from()
        }
        /// The exchange did not end in time; the server may have received the request.
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
    /// Whether no byte of the request can have reached the server.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Error::Connect(..))
    }
}
