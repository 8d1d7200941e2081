use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jujubehook_http::http_types::{Method, Request};
use jujubehook_http::{read, with_timeout, Client, Error, Events};
use serde_json::{json, Value};

use super::fleet::SERVICE;

/// Largest accepted error or service response in bytes.
const RESPONSE_LIMIT: usize = 1 << 20;

/// How long the caller waits for an answer beyond the deadline of the request.
const GRACE: Duration = Duration::from_secs(5);

/// An HTTP client that sends requests with the key of one workspace.
#[derive(Debug, Default)]
pub struct Caller {
    client: Client,
    key: String,
}

/// The answer to a request, as the caller received it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Answer {
    /// Kind of the error, if there was one; `lost` if the answer is missing or incomplete.
    pub error: Option<String>,
    /// Whether the request was certainly not run: the error says so, or no connection could be opened.
    pub not_run: bool,
    /// HTTP status; 0 if there was no response.
    pub status: u16,
    /// Text of the completion, or body of the service's response.
    pub text: String,
    /// Time from the request to the first token.
    pub first_token: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// Time from the request to the end of the answer.
    pub total: Duration,
    /// Number of tokens that the final event of the stream states.
    pub count: Option<u64>,
}

impl Caller {
    /// Makes a caller that authenticates with a workspace key.
    pub fn new(key: impl Into<String>) -> Self {
        Self {
            client: Client::default(),
            key: key.into(),
        }
    }

    /// Requests a streamed completion.
    pub async fn complete(
        &self,
        entry: SocketAddr,
        model: &str,
        prompt: &str,
        max_tokens: u64,
        deadline: Duration,
    ) -> Answer {
        let start = Instant::now();
        let body = json!({
            "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true,
        });
        let mut answer = Answer::default();
        let outcome = with_timeout(deadline + GRACE, async {
            let mut request = self.request(entry, "/v1/completions", deadline)?;
            request.set_body(body.to_string());
            self.stream(entry, request, start, &mut answer).await
        })
        .await;
        answer.finish(start, outcome)
    }

    /// Makes a call of the plain service of a fleet, with `key` as its idempotency key.
    pub async fn call(
        &self,
        entry: SocketAddr,
        name: &str,
        key: Option<&str>,
        body: &Value,
        deadline: Duration,
    ) -> Answer {
        let start = Instant::now();
        let path = format!("/v1/services/{SERVICE}/{name}");
        let mut answer = Answer::default();
        let outcome = with_timeout(deadline + GRACE, async {
            let mut request = self.request(entry, &path, deadline)?;
            if let Some(key) = key {
                request.insert_header("idempotency-key", key);
            }
            request.set_body(body.to_string());
            let mut response = self.client.stream(entry, request).await?;
            let bytes = read(response.take_body(), RESPONSE_LIMIT).await?;
            answer.set_body(response.status().into(), &bytes);
            Ok(())
        })
        .await;
        answer.finish(start, outcome)
    }

    /// Requests an idempotency key from an instance.
    ///
    /// # Errors
    /// Fails if the instance does not issue one within 5 s.
    pub async fn request_key(&self, entry: SocketAddr) -> Result<String, Error> {
        let deadline = Duration::from_secs(5);
        with_timeout(deadline, async {
            let request = self.request(entry, "/v1/keys", deadline)?;
            let mut response = self.client.stream(entry, request).await?;
            let bytes = read(response.take_body(), RESPONSE_LIMIT).await?;
            let value: Value = serde_json::from_slice(&bytes)?;
            value["key"]
                .as_str()
                .map(str::to_owned)
                .ok_or_else(|| Error::Exchange("the response has no key".into()))
        })
        .await
    }

    fn request(&self, entry: SocketAddr, path: &str, deadline: Duration) -> Result<Request, Error> {
        let mut request = Client::request(Method::Post, entry, path)?;
        request.insert_header("authorization", format!("Bearer {}", self.key));
        request.insert_header("x-deadline-ms", deadline.as_millis().to_string());
        Ok(request)
    }

    async fn stream(
        &self,
        entry: SocketAddr,
        request: Request,
        start: Instant,
        answer: &mut Answer,
    ) -> Result<(), Error> {
        let mut response = self.client.stream(entry, request).await?;
        answer.status = response.status().into();
        if !response.status().is_success() {
            let bytes = read(response.take_body(), RESPONSE_LIMIT).await?;
            answer.set_body(answer.status, &bytes);
            return Ok(());
        }
        let mut events = Events::new(response);
        let mut last = start;
        while let Some(data) = events.next().await? {
            if data == "[DONE]" {
                return Ok(());
            }
            let event: Value = serde_json::from_str(&data)?;
            if event.get("error").is_some() {
                answer.set_body(answer.status, data.as_bytes());
                return Ok(());
            }
            if let Some(count) = event["usage"]["completion_tokens"].as_u64() {
                answer.count = Some(count);
                continue;
            }
            let now = Instant::now();
            match answer.first_token {
                None => answer.first_token = Some(now - start),
                Some(_) => answer.gaps.push(now - last),
            }
            last = now;
            if let Some(text) = event["choices"][0]["text"].as_str() {
                answer.text.push_str(text);
            }
        }
        Err(Error::Closed)
    }
}

impl Answer {
    /// Whether the answer is complete and without error.
    pub fn is_ok(&self) -> bool {
        self.error.is_none() && self.status == 200
    }

    /// Sets the total time and, if the exchange failed, the error.
    fn finish(mut self, start: Instant, outcome: Result<(), Error>) -> Self {
        self.total = start.elapsed();
        if let Err(error) = outcome {
            self.not_run = error.is_unsent();
            self.error = Some("lost".into());
        }
        self
    }

    /// Records an error, or the complete response of a service call.
    fn set_body(&mut self, status: u16, bytes: &[u8]) {
        self.status = status;
        let value: Value = serde_json::from_slice(bytes).unwrap_or_default();
        match value["error"]["kind"].as_str() {
            Some(kind) => {
                self.error = Some(kind.to_owned());
                self.not_run = value["error"]["executed"] == "no";
            }
            None if status < 400 => self.text = String::from_utf8_lossy(bytes).into_owned(),
            None => self.error = Some(format!("status {status}")),
        }
    }
}
