use futures_lite::{AsyncRead, AsyncReadExt};
use serde::de::DeserializeOwned;
use serde::Serialize;

use super::{Body, Frame};
use crate::error::{Error, Kind};
use crate::id::AttemptId;

/// Longest accepted frame in bytes.
pub const FRAME_LIMIT: usize = 1 << 20;

/// Bytes of the length in front of each frame.
const LENGTH_BYTES: usize = 4;

/// Encodes a message as MessagePack with named fields.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    // With named fields an older instance can skip fields that a newer one has added.
    rmp_serde::to_vec_named(message).unwrap_or_default()
}

/// Decodes a message.
///
/// # Errors
/// `BadRequest` if the bytes are not a message of this type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    rmp_serde::from_slice(bytes)
        .map_err(|error| Error::new(Kind::BadRequest, format!("malformed message: {error}")))
}

/// Encodes a frame, preceded by its length.
pub fn encode_frame(frame: &Frame) -> Vec<u8> {
    let body = encode(frame);
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Reads the next frame; `None` at the end of the body.
///
/// # Errors
/// `UpstreamFailed` if the body is truncated or malformed.
pub async fn read_frame(reader: &mut (impl AsyncRead + Unpin)) -> Result<Option<Frame>, Error> {
    let mut length = [0; LENGTH_BYTES];
    let first = reader.read(&mut length).await.map_err(truncated)?;
    if first == 0 {
        return Ok(None);
    }
    reader
        .read_exact(&mut length[first..])
        .await
        .map_err(truncated)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > FRAME_LIMIT {
        return Err(Error::new(
            Kind::UpstreamFailed,
            format!("frame of {length} bytes exceeds the limit of {FRAME_LIMIT} bytes"),
        ));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await.map_err(truncated)?;
    rmp_serde::from_slice(&body)
        .map(Some)
        .map_err(|error| Error::new(Kind::UpstreamFailed, format!("malformed frame: {error}")))
}

fn truncated(error: std::io::Error) -> Error {
    Error::new(Kind::UpstreamFailed, format!("truncated stream: {error}"))
}

/// Checks that frames belong to one attempt and arrive in order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Validator {
    attempt: AttemptId,
    /// Expected index of the next token.
    index: u64,
    /// Expected number of the next frame.
    sequence: u64,
}

impl Validator {
    /// Expects frames of `attempt` whose first token has index `start`.
    pub fn new(attempt: AttemptId, start: u64) -> Self {
        Self {
            attempt,
            index: start,
            sequence: 0,
        }
    }

    /// Checks the next frame.
    ///
    /// # Errors
    /// `UpstreamFailed` if the frame is of another attempt or out of order.
    pub fn accept(&mut self, frame: &Frame) -> Result<(), Error> {
        if frame.attempt != self.attempt {
            return Err(self.reject("of another attempt"));
        }
        if frame.sequence != self.sequence {
            return Err(self.reject("out of order"));
        }
        if let Body::Token { index, .. } = frame.body {
            if index != self.index {
                return Err(self.reject("with an unexpected token index"));
            }
            let next = self.index.checked_add(1);
            self.index = next.ok_or_else(|| self.reject("with too many tokens"))?;
        }
        self.sequence += 1;
        Ok(())
    }

    fn reject(&self, what: &str) -> Error {
        Error::new(
            Kind::UpstreamFailed,
            format!("frame {what} in attempt {:016x}", self.attempt),
        )
    }
}
