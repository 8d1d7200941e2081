use std::ops::Range;

/// The message of an error in `text`, prefixed with its line, and with its key unless the message names it.
pub(in crate::command) fn describe_error(text: &str, error: &toml::de::Error) -> String {
    let line = line_of_span(text, error.span());
    let message = error.message();
    let content = text.lines().nth(line - 1).unwrap_or_default();
    match content.split_once('=') {
        Some((key, _)) if !message.contains(&format!("`{}`", key.trim())) => {
            format!("line {line}: `{}`: {message}", key.trim())
        }
        Some(_) | None => format!("line {line}: {message}"),
    }
}

/// The line of `text`, counted from 1, on which a span starts.
pub(super) fn line_of_span(text: &str, span: Option<Range<usize>>) -> usize {
    let start = span.map_or(0, |span| span.start).min(text.len());
    text.as_bytes()[..start]
        .iter()
        .filter(|&&byte| byte == b'\n')
        .count()
        + 1
}

/// The line of `text`, counted from 0, that a reason refers to: the first that sets a key which the reason names, or
/// else the first that contains a value which it quotes.
pub(super) fn line_of_reason(text: &str, reason: &str) -> usize {
    let words = reason.split(|c: char| !(c.is_alphanumeric() || c == '_'));
    let by_key = words
        .filter(|word| !word.is_empty())
        .find_map(|word| text.lines().position(|line| sets(line, word)));
    let mut quoted = reason
        .split('`')
        .skip(1)
        .step_by(2)
        .filter(|word| !word.is_empty());
    let by_value = || quoted.find_map(|word| text.lines().position(|line| line.contains(word)));
    by_key.or_else(by_value).unwrap_or(0)
}

/// Removes the position in the JSON form, which the operator does not see.
pub(super) fn strip_column(reason: &str) -> &str {
    reason.split(" at line ").next().unwrap_or(reason)
}

/// Whether a line sets `key` or is the header of its table. Keys that identify a record do not count.
fn sets(line: &str, key: &str) -> bool {
    let head = line.split('=').next().unwrap_or(line).trim();
    let head = head.trim_start_matches('[').trim_end_matches(']');
    let last = head.rsplit('.').next().unwrap_or(head).trim();
    last == key && !matches!(key, "kind" | "name" | "record")
}
