use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jujubehook_http::http_types::{mime, Method};
use jujubehook_http::{Client, Error as HttpError, Reuse, Traffic};
use serde::Deserialize;

use super::call::{call, decode};
use super::{Error, Page, Settings};
use crate::id::Offset;

/// A client of the log service.
#[derive(Debug)]
pub struct Log {
    address: SocketAddr,
    client: Client,
    settings: Settings,
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

impl Log {
    /// Makes a client of the log service at `address`.
    pub fn new(address: SocketAddr, settings: Settings) -> Self {
        Self {
            address,
            client: Client::default(),
            settings,
        }
    }

    /// Counts the bytes of all calls in `traffic`.
    pub fn metered(self, traffic: Arc<Traffic>) -> Self {
        Self {
            client: Client::metered(traffic),
            ..self
        }
    }

    /// Appends one entry to a stream and returns its offset.
    ///
    /// # Errors
    /// `Error::Refused` if the entry is not in the log, `Error::Unknown` if it may be.
    pub async fn append(&self, stream: &str, entry: &str) -> Result<Offset, Error> {
        if entry.len() > self.settings.entry_limit {
            let limit = self.settings.entry_limit;
            return Err(Error::Refused(format!(
                "entry of {} bytes exceeds the limit of {limit} bytes",
                entry.len()
            )));
        }
        let path = path(stream)?;
        let mut request = Client::request(Method::Post, self.address, &path)
            .map_err(|error| Error::Refused(error.to_string()))?;
        request.set_body(entry);
        request.set_content_type(mime::JSON);
        // On a pooled connection that turns out to be closed the client would send the append again.
        let (status, bytes) = call(
            &self.client,
            self.address,
            request,
            Reuse::Never,
            self.settings.answer_limit,
            self.settings.timeout,
        )
        .await?;
        let appended: Option<Appended> = decode(status, &bytes)?;
        match appended {
            Some(Appended { offset }) if offset > 0 => Ok(offset),
            Some(_) | None => Err(Error::Unknown(format!(
                "response with status {status} has no offset"
            ))),
        }
    }

    /// Reads up to `limit` entries from offset `from` on and waits up to `wait` for the first of them.
    ///
    /// # Errors
    /// Fails with either kind of error; a read has no effect.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> Result<Page, Error> {
        let mut limit = limit.max(1);
        loop {
            let page = self.page(stream, from, limit, wait).await?;
            match page {
                Some(page) if page.is_ordered(from) => return Ok(page),
                Some(_) => {
                    return Err(Error::Unknown(format!(
                        "offsets of stream `{stream}` are out of order"
                    )))
                }
                None if limit > 1 => limit /= 2,
                None => return Err(HttpError::TooLarge(self.settings.answer_limit).into()),
            }
        }
    }

    /// Reads one page; `None` if the response exceeds the size limit.
    async fn page(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> Result<Option<Page>, Error> {
        let wait_ms = wait.as_millis();
        let query = format!("?from={from}&wait_ms={wait_ms}&limit={limit}");
        let path = path(stream)? + &query;
        let request = Client::request(Method::Get, self.address, &path)?;
        let answer = call(
            &self.client,
            self.address,
            request,
            Reuse::Pooled,
            self.settings.answer_limit,
            self.settings.timeout.saturating_add(wait),
        )
        .await;
        let (status, bytes) = match answer {
            Err(HttpError::TooLarge(_)) => return Ok(None),
            answer => answer?,
        };
        match decode(status, &bytes)? {
            Some(page) => Ok(Some(page)),
            None => Err(Error::Unknown(format!("unexpected status {status}"))),
        }
    }
}

/// Makes the path of a stream, whose name may contain only letters, digits, `-`, `_` and `.`.
fn path(stream: &str) -> Result<String, Error> {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if stream.is_empty() || stream.starts_with('.') || !stream.chars().all(plain) {
        return Err(Error::Refused(format!("invalid stream name `{stream}`")));
    }
    Ok(format!("/streams/{stream}"))
}
