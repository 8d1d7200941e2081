use crate::error::{Error, Kind};
use crate::id::{Incarnation, InstanceId};

use super::Settings;

/// Longest key in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// Longest key together with its workspace in bytes.
pub const MAX_SCOPED_BYTES: usize = 2 * MAX_KEY_BYTES + 1;

/// Most digits of a time in seconds; keeps the time in milliseconds within 64 bits.
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
        /// Tells the keys of one issuer and second apart.
        nonce: u64,
        /// When the key was issued, in Unix seconds.
        time: u64,
    },
}

impl Key {
    /// Parses a key and checks its age at `now`, in Unix milliseconds.
    ///
    /// # Errors
    /// `BadRequest` for a malformed key, `KeyExpired` for one that is expired or from the future.
    pub fn parse(text: &str, settings: &Settings, now: u64) -> Result<Key, Error> {
        let key = Key::parse_any_age(text)?;
        key.check(settings, now)?;
        Ok(key)
    }

    /// Parses a key without a check of its age.
    ///
    /// # Errors
    /// `BadRequest` for a malformed key.
    pub fn parse_any_age(text: &str) -> Result<Key, Error> {
        if text.len() > MAX_KEY_BYTES {
            return Err(bad(format!("key is longer than {MAX_KEY_BYTES} bytes")));
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(bad("key has characters other than visible ASCII"));
        }
        match text.strip_prefix("k-") {
            Some(rest) => {
                issued(rest).filter(|key| key.text().is_some_and(|canonical| canonical == text))
            }
            None => caller(text),
        }
        .ok_or_else(|| {
            bad("key is neither `<unix seconds>-<anything>` nor one from `POST /v1/keys`")
        })
    }

    /// Checks the age of the key at `now`, in Unix milliseconds.
    ///
    /// # Errors
    /// `KeyExpired`.
    pub fn check(&self, settings: &Settings, now: u64) -> Result<(), Error> {
        if now >= self.millis().saturating_add(settings.lifetime_ms) {
            return Err(Error::new(
                Kind::KeyExpired,
                "key is expired; an earlier call with it may have run",
            ));
        }
        if self.millis() > now.saturating_add(settings.max_future_ms) {
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
    pub(super) fn millis(&self) -> u64 {
        self.time() * 1_000
    }

    /// Parses the key part of a scoped key.
    pub(super) fn of_scoped(text: &str) -> Result<Key, Error> {
        if text.len() > MAX_SCOPED_BYTES {
            return Err(bad(format!(
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

/// Makes the text of an issued key at `now`, in Unix milliseconds.
pub fn issue(instance: &str, incarnation: Incarnation, nonce: u64, now: u64) -> String {
    format!("k-{instance}-{incarnation:x}-{}-{nonce:016x}", now / 1_000)
}

/// Binds a key to a workspace, so that equal keys of two workspaces are different keys. A ledger takes this form.
pub fn scoped(workspace: &str, key: &str) -> String {
    format!("{key} {workspace}")
}

fn bad(message: impl Into<String>) -> Error {
    Error::new(Kind::BadRequest, message)
}

fn caller(text: &str) -> Option<Key> {
    let (time, rest) = text.split_once('-')?;
    let time = seconds(time)?;
    (!rest.is_empty()).then_some(Key::Caller { time })
}

fn issued(text: &str) -> Option<Key> {
    let mut parts = text.rsplitn(4, '-');
    let nonce = u64::from_str_radix(parts.next()?, 16).ok()?;
    let time = seconds(parts.next()?)?;
    let incarnation = u64::from_str_radix(parts.next()?, 16).ok()?;
    let instance = parts.next().filter(|instance| !instance.is_empty())?.into();
    Some(Key::Issued {
        incarnation,
        instance,
        nonce,
        time,
    })
}

fn seconds(text: &str) -> Option<u64> {
    let digits = text.bytes().all(|byte| byte.is_ascii_digit());
    if !digits || text.len() > MAX_TIME_DIGITS {
        return None;
    }
    text.parse().ok()
}
