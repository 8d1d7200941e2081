use futures_lite::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

use crate::Error;

/// Longest accepted event line in bytes.
const EVENT_LIMIT: u64 = 1 << 20;

/// Reads the `data:` lines of a server-sent event stream.
#[derive(Debug)]
pub struct Events<R> {
    reader: R,
}

impl<R: AsyncBufRead + Unpin> Events<R> {
    /// Reads events from a body.
    pub fn new(reader: R) -> Self {
        Self { reader }
    }

    /// Returns the data of the next event, or `None` at the end of the body. Each `data:` line counts as one event.
    ///
    /// # Errors
    /// `Error::Exchange` if the body cannot be read, or a line is cut off, too long or not UTF-8.
    pub async fn next(&mut self) -> Result<Option<String>, Error> {
        loop {
            let mut line = Vec::new();
            let count = (&mut self.reader)
                .take(EVENT_LIMIT)
                .read_until(b'\n', &mut line)
                .await
                .map_err(|error| Error::Exchange(error.to_string()))?;
            if count == 0 {
                return Ok(None);
            }
            if line.last() != Some(&b'\n') {
                return Err(Error::Exchange("event line is cut off or too long".into()));
            }
            let line = std::str::from_utf8(&line)
                .map_err(|_| Error::Exchange("event is not UTF-8".into()))?;
            if let Some(data) = line.trim_end().strip_prefix("data:") {
                return Ok(Some(data.trim_start().to_owned()));
            }
        }
    }
}
