use crate::error::{Error, Kind};
use crate::id::{Incarnation, InstanceId};

use super::Settings;

/// Maximum length of a key in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// Maximum length of a key together with its workspace, in bytes.
pub const MAX_SCOPED_BYTES: usize = 2 * MAX_KEY_BYTES + 1;

/// Maximum number of digits of a time in seconds. The time in milliseconds then fits into 64 bits.
const MAX_TIME_DIGITS: usize = 12;

/// An idempotency key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Key {
    /// `<unix seconds>-<anything>`, made by the caller.
    Caller {
        /// When the key was made, in Unix seconds.
        time: u64,
    },
    /// `k-<instance>-<incarnation hex>-<unix seconds>-<nonce>`, made by an instance.
    Issued {
        /// Incarnation of the issuer.
        incarnation: Incarnation,
        /// The issuer.
        instance: InstanceId,
        /// Distinguishes the keys that one issuer makes in the same second.
        nonce: u64,
        /// When the key was issued, in Unix seconds.
        time: u64,
    },
}

impl Key {
    /// Parses a key and checks its age at `now`, in Unix milliseconds.
    ///
    /// # Errors
    /// `BadRequest` for a malformed key, `KeyExpired` for one that has expired or has a time in the future.
    pub fn parse(text: &str, settings: &Settings, now: u64) -> Result<Key, Error> {
        let key = Key::parse_any_age(text)?;
        key.check(settings, now)?;
        Ok(key)
    }

    /// Parses a key without checking its age.
    ///
    /// # Errors
    /// `BadRequest` for a malformed key.
    pub fn parse_any_age(text: &str) -> Result<Key, Error> {
        if text.len() > MAX_KEY_BYTES {
            return Err(bad_request(format!(
                "key is longer than {MAX_KEY_BYTES} bytes"
            )));
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(bad_request("key has characters other than visible ASCII"));
        }
        match text.strip_prefix("k-") {
            Some(rest) => parse_issued_key(rest)
                .filter(|key| key.text().is_some_and(|canonical| canonical == text)),
            None => parse_caller_key(text),
        }
        .ok_or_else(|| {
            bad_request("key is neither `<unix seconds>-<anything>` nor one from `POST /v1/keys`")
        })
    }

    /// Checks the age of the key at `now`, in Unix milliseconds.
    ///
    /// # Errors
    /// `KeyExpired` if the key has expired or has a time in the future.
    pub fn check(&self, settings: &Settings, now: u64) -> Result<(), Error> {
        if now >= self.created_ms().saturating_add(settings.lifetime_ms) {
            return Err(Error::new(
                Kind::KeyExpired,
                "key is expired; an earlier call with it may have run",
            ));
        }
        if self.created_ms() > now.saturating_add(settings.max_future_ms) {
            return Err(Error::new(Kind::KeyExpired, "key has a time in the future"));
        }
        Ok(())
    }

    /// When the key was made, in Unix seconds.
    pub fn time(&self) -> u64 {
        match self {
            Key::Caller { time } | Key::Issued { time, .. } => *time,
        }
    }

    /// When the key was made, in Unix milliseconds.
    pub(super) fn created_ms(&self) -> u64 {
        self.time() * 1_000
    }

    /// Parses the key part of a scoped key.
    pub(super) fn parse_scoped(text: &str) -> Result<Key, Error> {
        if text.len() > MAX_SCOPED_BYTES {
            return Err(bad_request(format!(
                "key and workspace are longer than {MAX_SCOPED_BYTES} bytes"
            )));
        }
        Key::parse_any_age(text.split(' ').next().unwrap_or_default())
    }

    fn text(&self) -> Option<String> {
        match self {
            Key::Caller { .. } => None,
            Key::Issued {
                incarnation,
                instance,
                nonce,
                time,
            } => Some(issue(instance, *incarnation, *nonce, time * 1_000)),
        }
    }
}

/// Creates the text of a key issued at `now`, in Unix milliseconds.
pub fn issue(instance: &str, incarnation: Incarnation, nonce: u64, now: u64) -> String {
    format!("k-{instance}-{incarnation:x}-{}-{nonce:016x}", now / 1_000)
}

/// Scopes a key to a workspace, so that equal keys of two workspaces are different keys. Ledgers use this form.
pub fn scoped(workspace: &str, key: &str) -> String {
    format!("{key} {workspace}")
}

fn bad_request(message: impl Into<String>) -> Error {
    Error::new(Kind::BadRequest, message)
}

fn parse_caller_key(text: &str) -> Option<Key> {
    let (time, rest) = text.split_once('-')?;
    let time = parse_seconds(time)?;
    (!rest.is_empty()).then_some(Key::Caller { time })
}

fn parse_issued_key(text: &str) -> Option<Key> {
    let mut parts = text.rsplitn(4, '-');
    let nonce = u64::from_str_radix(parts.next()?, 16).ok()?;
    let time = parse_seconds(parts.next()?)?;
    let incarnation = u64::from_str_radix(parts.next()?, 16).ok()?;
    let instance = parts.next().filter(|instance| !instance.is_empty())?.into();
    Some(Key::Issued {
        incarnation,
        instance,
        nonce,
        time,
    })
}

fn parse_seconds(text: &str) -> Option<u64> {
    let digits = text.bytes().all(|byte| byte.is_ascii_digit());
    if !digits || text.len() > MAX_TIME_DIGITS {
        return None;
    }
    text.parse().ok()
}
