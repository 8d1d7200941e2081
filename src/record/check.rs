use std::ops::RangeInclusive;

use crate::id::Tokens;

use super::{Body, Service, Target, Workspace};

/// Maximum size of an entry, and of a record encoded in schema 2, in bytes.
pub const MAX_ENTRY_BYTES: usize = 64 * 1024;

/// Maximum total size of all records in bytes; keeps the fold within the memory limit of an instance.
pub const MAX_FOLD_BYTES: usize = 16 * 1024 * 1024;

/// Maximum number of items in one list of a record.
pub const MAX_ITEMS: usize = 256;

/// Maximum memory of a target in tokens.
pub const MAX_MEMORY_TOKENS: Tokens = 1 << 40;

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Maximum prompt limit of a workspace in tokens.
pub const MAX_PROMPT_TOKENS: Tokens = 16_000_000;

/// Maximum number of records in force.
pub const MAX_RECORDS: usize = 16_384;

/// Maximum weight of a workspace.
pub const MAX_WEIGHT: u32 = 1_000;

const COLD_LIMITS: RangeInclusive<u64> = 1..=10_000;
const DIGEST_DIGITS: usize = 64;

/// Checks every constraint on `body` that does not depend on other records.
pub(super) fn body(body: &Body) -> Result<(), String> {
    match body {
        Body::Domain(_) => Ok(()),
        Body::Service(body) => service(body),
        Body::Target(body) => target(body),
        Body::Workspace(body) => workspace(body),
    }
}

fn digest(digest: &str) -> Result<(), String> {
    let digits = digest
        .bytes()
        .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if digits && digest.len() == DIGEST_DIGITS {
        return Ok(());
    }
    Err(format!(
        "key digest `{digest}` is not {DIGEST_DIGITS} lower-case hexadecimal digits"
    ))
}

/// Checks the size of a sorted list and that it has no duplicates.
fn distinct<'a>(label: &str, items: impl Iterator<Item = &'a str>) -> Result<(), String> {
    let mut last = None;
    for (count, item) in items.enumerate() {
        if count == MAX_ITEMS {
            return Err(format!("more than {MAX_ITEMS} {label}"));
        }
        if last == Some(item) {
            return Err(format!("`{item}` is listed twice in {label}"));
        }
        last = Some(item);
    }
    Ok(())
}

/// Checks the length and the characters of a name.
pub(super) fn name(label: &str, name: &str) -> Result<(), String> {
    if name.is_empty() {
        return Err(format!("{label} name is empty"));
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(format!(
            "{label} name is longer than {MAX_NAME_BYTES} bytes"
        ));
    }
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"+-./:@_".contains(&byte);
    if name.bytes().all(allowed) {
        return Ok(());
    }
    Err(format!(
        "{label} name `{name}` has characters other than letters, digits and `+-./:@_`"
    ))
}

fn names<'a>(label: &str, items: impl Iterator<Item = &'a str> + Clone) -> Result<(), String> {
    distinct(label, items.clone())?;
    for item in items {
        name(label, item)?;
    }
    Ok(())
}

fn range(label: &str, value: u64, range: RangeInclusive<u64>) -> Result<(), String> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(format!(
        "{label} `{value}` is not between {} and {}",
        range.start(),
        range.end()
    ))
}

fn service(body: &Service) -> Result<(), String> {
    names("calls", body.at_most_once.iter().map(String::as_str))
}

fn target(body: &Target) -> Result<(), String> {
    if let Some(limit) = body.cold_limit {
        range("cold limit", limit.into(), COLD_LIMITS)?;
    }
    if let Some(memory) = body.memory {
        range("memory", memory, 1..=MAX_MEMORY_TOKENS)?;
    }
    if let Some(load) = &body.load {
        name("model", &load.model)?;
        name("version", &load.version)?;
        load.role.iter().try_for_each(|role| name("role", role))?;
    }
    Ok(())
}

fn workspace(body: &Workspace) -> Result<(), String> {
    names(
        "models",
        body.grants.iter().map(|grant| grant.model.as_str()),
    )?;
    for grant in &body.grants {
        names("adapters", grant.adapters.iter().map(String::as_str))?;
        names("versions", grant.versions.iter().map(String::as_str))?;
    }
    distinct("keys", body.keys.iter().map(String::as_str))?;
    body.keys.iter().try_for_each(|key| digest(key))?;
    if let Some(prompt) = body.max_prompt {
        range("max_prompt", prompt, 1..=MAX_PROMPT_TOKENS)?;
    }
    range("weight", body.weight.into(), 1..=MAX_WEIGHT.into())
}
