use std::net::SocketAddr;
use std::time::Duration;

use jujubehook_http::http_types::{Method, Request, Response};
use jujubehook_http::{with_timeout, Client, Connection, Error, Events, Reuse};
use serde::{Deserialize, Serialize};

use super::change::Change;
use super::headers::{boot_number, cold_flag};

use crate::id::{AttemptId, Fence, ModelId, Tokens};
use crate::order::Model;

/// Time limit for a call to an engine, except for completions and orders.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest accepted response to a call in bytes, except for completions.
const RESPONSE_LIMIT: usize = 4 << 20;

/// Client of one model engine.
#[derive(Clone, Copy, Debug)]
pub struct Engine<'a> {
    address: SocketAddr,
    client: &'a Client,
}

/// Body of a completion request to an engine.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Completion {
    /// Adapter to apply, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Attempt id, echoed in each event; 16 hexadecimal digits.
    pub attempt: String,
    /// Handles that precede the prompt.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub context: Vec<String>,
    /// Handle under which the engine keeps the KV memory.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub handle: Option<String>,
    /// Tokens to generate; 0 only prefills.
    pub max_tokens: Tokens,
    /// Model to use.
    pub model: String,
    /// The engine schedules the lowest number first.
    pub priority: i32,
    /// Prompt text.
    pub prompt: String,
    /// Always true; the engine answers with server-sent events.
    pub stream: bool,
}

/// One event of a completion stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Event {
    /// Attempt that the event belongs to.
    pub attempt: String,
    /// Prompt tokens found in the prefix cache; only in the last event.
    #[serde(default)]
    pub cached: Tokens,
    /// Tokens generated; only in the last event.
    pub count: Option<u64>,
    /// Why the stream ended; only in the last event.
    pub finish: Option<String>,
    /// Index of the token within the attempt.
    #[serde(default)]
    pub index: u64,
    /// Text of the token.
    #[serde(default)]
    pub text: String,
}

/// Response with a completion stream.
#[derive(Debug)]
pub struct Stream {
    /// Boot number of the engine, which changes with each restart.
    pub boot: Option<u64>,
    /// Whether the engine reports that it is cold.
    pub cold: Option<bool>,
    /// Events of the stream.
    pub events: Events<Response>,
    /// HTTP status.
    pub status: u16,
}

#[derive(Deserialize)]
struct Changes {
    events: Vec<Change>,
}

#[derive(Deserialize)]
struct Loaded {
    model: ModelId,
    role: Option<String>,
    version: String,
}

#[derive(Serialize)]
struct Order<'a> {
    fence: Fence,
    #[serde(flatten)]
    load: &'a Model,
}

/// Running streams and kept handles of an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Usage {
    /// Boot number.
    pub boot: u64,
    /// Whether the engine is cold.
    pub cold: bool,
    /// Kept handles.
    pub handles: Vec<Handle>,
    /// Running streams.
    pub streams: Vec<RunningStream>,
}

/// A handle for KV memory that the engine keeps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Handle {
    /// Name of the handle, 16 hexadecimal digits.
    pub handle: String,
    /// Memory that it holds.
    pub tokens: Tokens,
}

/// A running stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct RunningStream {
    /// Attempt of the stream, 16 hexadecimal digits.
    pub attempt: String,
    /// Memory that it holds.
    pub tokens: Tokens,
}

impl<'a> Engine<'a> {
    /// Makes a client of the engine at `address`.
    pub fn new(client: &'a Client, address: SocketAddr) -> Self {
        Self { address, client }
    }

    /// Cancels a stream.
    ///
    /// # Errors
    /// Fails if the engine does not answer in time.
    pub async fn cancel(&self, attempt: AttemptId) -> Result<(), Error> {
        let path = format!("/v1/streams/{attempt:016x}");
        self.call(Method::Delete, &path, None).await.map(|_| ())
    }

    /// Starts a completion over an open connection. The caller has to limit the time.
    ///
    /// # Errors
    /// On any error the engine may have received the request.
    pub async fn complete(
        &self,
        connection: Connection,
        completion: &Completion,
    ) -> Result<Stream, Error> {
        let mut request = self.request(Method::Post, "/v1/completions")?;
        request.set_body(serde_json::to_vec(completion)?);
        connection.send(request).await.map(stream)
    }

    /// Reads the cache events that the engine still retains.
    ///
    /// # Errors
    /// Fails if the engine does not answer in time.
    pub async fn events(&self) -> Result<Vec<Change>, Error> {
        let bytes = self.call(Method::Get, "/v1/events?after=0", None).await?;
        let changes: Changes = serde_json::from_slice(&bytes)?;
        Ok(changes.events)
    }

    /// Exports a handle; returns a ticket with which another engine can import it.
    ///
    /// # Errors
    /// Fails if the engine does not answer in time or does not know the handle.
    pub async fn export(&self, handle: AttemptId) -> Result<String, Error> {
        let path = format!("/v1/kv/{handle:016x}/export");
        let bytes = self.call(Method::Post, &path, None).await?;
        String::from_utf8(bytes).map_err(|error| Error::Exchange(error.to_string()))
    }

    /// Drops a handle. It is no error if the engine does not know the handle.
    ///
    /// # Errors
    /// Fails if the engine does not answer in time.
    pub async fn drop_handle(&self, handle: AttemptId) -> Result<(), Error> {
        let request = self.request(Method::Delete, &format!("/v1/kv/{handle:016x}"))?;
        let call = self
            .client
            .fetch(self.address, request, Reuse::Pooled, RESPONSE_LIMIT);
        with_timeout(CALL_TIMEOUT, call).await.map(|_| ())
    }

    /// Imports a handle of another engine by its ticket.
    ///
    /// # Errors
    /// Fails if the engine does not answer in time or refuses the ticket.
    pub async fn import(&self, ticket: &str) -> Result<(), Error> {
        self.call(Method::Post, "/v1/kv/import", Some(ticket.to_owned()))
            .await
            .map(|_| ())
    }

    /// Reads which model the engine has loaded; `None` if it has loaded none.
    ///
    /// # Errors
    /// Fails if the engine does not answer in time.
    pub async fn loaded(&self) -> Result<Option<Model>, Error> {
        let bytes = self.call(Method::Get, "/v1/orders", None).await?;
        let loaded: Option<Loaded> = serde_json::from_slice(&bytes)?;
        Ok(loaded.map(|loaded| Model {
            model: loaded.model,
            role: loaded.role,
            version: loaded.version,
        }))
    }

    /// Orders the engine to load a model and to take a role. The caller has to limit the time.
    ///
    /// # Errors
    /// Fails if the engine does not answer or refuses the order, for example because its fencing number is too old.
    pub async fn order(&self, fence: Fence, load: &Model) -> Result<(), Error> {
        let mut request = self.request(Method::Post, "/v1/orders")?;
        let order = Order { fence, load };
        request.set_body(serde_json::to_vec(&order)?);
        let call = self
            .client
            .fetch(self.address, request, Reuse::Never, RESPONSE_LIMIT);
        let (response, _) = call.await?;
        if response.status().is_success() {
            return Ok(());
        }
        Err(Error::Exchange(format!(
            "the engine answered the order with status {}",
            response.status()
        )))
    }

    /// Continues a stream after a lost connection, from token `from` of the attempt.
    ///
    /// # Errors
    /// Fails if the engine cannot be reached.
    pub async fn resume(&self, attempt: AttemptId, from: u64) -> Result<Stream, Error> {
        let path = format!("/v1/streams/{attempt:016x}?from={from}");
        let request = self.request(Method::Get, &path)?;
        let call = self.client.stream(self.address, request);
        with_timeout(CALL_TIMEOUT, call).await.map(stream)
    }

    /// Reads the running streams and the kept handles.
    ///
    /// # Errors
    /// Fails if the engine does not answer in time.
    pub async fn usage(&self) -> Result<Usage, Error> {
        let bytes = self.call(Method::Get, "/v1/streams", None).await?;
        Ok(serde_json::from_slice(&bytes)?)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> Result<Vec<u8>, Error> {
        let mut request = self.request(method, path)?;
        if let Some(body) = body {
            request.set_body(body);
        }
        let call = self
            .client
            .fetch(self.address, request, Reuse::Pooled, RESPONSE_LIMIT);
        let (response, bytes) = with_timeout(CALL_TIMEOUT, call).await?;
        if response.status().is_success() {
            return Ok(bytes);
        }
        Err(Error::Exchange(format!(
            "`{path}` answered with status {}",
            response.status()
        )))
    }

    fn request(&self, method: Method, path: &str) -> Result<Request, Error> {
        Client::request(method, self.address, path)
    }
}

fn stream(response: Response) -> Stream {
    Stream {
        boot: boot_number(&response),
        cold: cold_flag(&response),
        status: response.status().into(),
        events: Events::new(response),
    }
}
