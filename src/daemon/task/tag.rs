use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Bytes of the authentication tag after each datagram: 16 resist forgery and keep heartbeats small.
const TAG_BYTES: usize = 16;

/// Appends an HMAC of the message under the peer key.
pub(super) fn seal(key: &[u8], mut bytes: Vec<u8>) -> Vec<u8> {
    if let Some(tag) = tag(key, &bytes) {
        bytes.extend_from_slice(&tag);
    }
    bytes
}

/// Returns the message before the tag, or `None` if the tag is not valid.
pub(super) fn open<'a>(key: &[u8], datagram: &'a [u8]) -> Option<&'a [u8]> {
    let length = datagram.len().checked_sub(TAG_BYTES)?;
    let (message, received) = datagram.split_at(length);
    let mut mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
    mac.update(message);
    mac.verify_truncated_left(received).ok()?;
    Some(message)
}

fn tag(key: &[u8], message: &[u8]) -> Option<[u8; TAG_BYTES]> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
    mac.update(message);
    let full = mac.finalize().into_bytes();
    full[..TAG_BYTES].try_into().ok()
}
