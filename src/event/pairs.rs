/// Maximum length of an excerpt in an error message, in characters.
const EXCERPT_CHARS: usize = 40;

/// Splits a line into its `key=value` pairs and unquotes the values.
pub(super) fn pairs(line: &str) -> Result<Vec<(String, String)>, String> {
    let mut found = Vec::new();
    let mut rest = line.trim();
    while !rest.is_empty() {
        let (key, after) = rest
            .split_once('=')
            .ok_or_else(|| format!("no `=` after `{}`", excerpt(rest)))?;
        if key.is_empty() || key.contains(|c: char| c <= ' ' || c == '"') {
            return Err(format!("invalid key `{}`", excerpt(key)));
        }
        let (value, after) = match after.strip_prefix('"') {
            Some(quoted) => unquote(quoted)?,
            None => bare(after),
        };
        if !after.is_empty() && !after.starts_with(' ') {
            return Err(format!("no space after the value of `{}`", excerpt(key)));
        }
        found.push((key.to_owned(), value));
        rest = after.trim_start();
    }
    Ok(found)
}

/// Splits off an unquoted value.
fn bare(text: &str) -> (String, &str) {
    let (value, rest) = text.split_at(text.find(' ').unwrap_or(text.len()));
    (value.to_owned(), rest)
}

/// Decodes the rest of an escape sequence, after the backslash.
fn unescape(chars: &mut std::str::Chars<'_>) -> Option<char> {
    match chars.next()? {
        '0' => Some('\0'),
        'n' => Some('\n'),
        'r' => Some('\r'),
        't' => Some('\t'),
        'u' => {
            let (digits, rest) = chars.as_str().strip_prefix('{')?.split_once('}')?;
            *chars = rest.chars();
            char::from_u32(u32::from_str_radix(digits, 16).ok()?)
        }
        c @ ('"' | '\'' | '\\') => Some(c),
        _ => None,
    }
}

fn excerpt(text: &str) -> String {
    text.chars().take(EXCERPT_CHARS).collect()
}

/// Splits off a quoted value, after its opening quote.
fn unquote(text: &str) -> Result<(String, &str), String> {
    let mut value = String::new();
    let mut chars = text.chars();
    loop {
        match chars.next() {
            None => return Err("a quoted value has no closing quote".into()),
            Some('"') => return Ok((value, chars.as_str())),
            Some('\\') => match unescape(&mut chars) {
                Some(c) => value.push(c),
                None => return Err("a quoted value has an invalid escape sequence".into()),
            },
            Some(c) => value.push(c),
        }
    }
}
