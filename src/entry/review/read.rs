use serde::de::DeserializeOwned;
use serde_json::{Deserializer, Error, Value};
use serde_path_to_error::deserialize;

use super::{Field, Names, Report};

/// Maximum size of a configuration. Instances have no limit, but the smallest ones (14 Mbit/s) read this much in 5 s.
pub const MAX_BYTES: u64 = 8 << 20;

/// Number types in the messages of errors, with their ranges.
const TYPES: [(&str, &str); 5] = [
    ("f64", "a number"),
    ("u32", "an integer from 0 to 4294967295"),
    ("u64", "an integer from 0 to 18446744073709551615"),
    ("u8", "an integer from 0 to 255"),
    ("usize", "an integer from 0 to 18446744073709551615"),
];

/// Reads the JSON text of `file`; reports an error with its place.
pub fn read_text<W: DeserializeOwned>(file: &str, text: &[u8], report: &mut Report) -> Option<W> {
    if text.len() as u64 > MAX_BYTES {
        report.error(file, format!("is larger than {MAX_BYTES} bytes"));
        return None;
    }
    let mut json = Deserializer::from_slice(text);
    let read = match deserialize(&mut json) {
        Ok(read) => json.end().map(|()| read),
        Err(error) if error.inner().is_data() => {
            let path = error.path().to_string();
            let place = if path == "." { file } else { &path };
            report.error(place, describe(error.inner()));
            return None;
        }
        Err(error) => Err(error.into_inner()),
    };
    read.map_err(|error| report.error(file, error.to_string()))
        .ok()
}

/// Reads the entries of a list; reports those that cannot be read, and leaves them out.
pub fn read_list<W: DeserializeOwned, T>(
    list: Vec<Value>,
    field: Field,
    names: &Names,
    report: &mut Report,
    convert: impl Fn(W, &str, &mut Report) -> T,
) -> Vec<Option<T>> {
    let mut read = Vec::with_capacity(list.len());
    for (index, value) in list.into_iter().enumerate() {
        let entry = names.entry(field, index);
        read.push(match deserialize(value) {
            Ok(wire) => Some(convert(wire, &entry, report)),
            Err(error) => {
                let place = match error.path().to_string().as_str() {
                    "." => entry,
                    path => format!("{entry}.{path}"),
                };
                report.error(place, describe(error.inner()));
                None
            }
        });
    }
    read
}

/// Describes a value of the wrong type without the value, which may be a key.
fn describe(error: &Error) -> String {
    let text = error.to_string();
    // Split at the end first: the value may contain the words of the message.
    let Some((found, expected)) = text.rsplit_once(", expected ") else {
        return without_line(&text).to_owned();
    };
    let expected = without_line(expected);
    let found = match found.starts_with("invalid type") {
        true => found
            .split(['"', '`'])
            .next()
            .unwrap_or_default()
            .trim_end(),
        false => found,
    };
    let named = TYPES.iter().find(|(name, _)| *name == expected);
    let expected = match named {
        Some((_, meaning)) => meaning,
        None if expected.starts_with("struct ") => "an object",
        None => expected,
    };
    format!("{found}, expected {expected}")
}

/// A message without line and column, since its place is stated.
fn without_line(text: &str) -> &str {
    text.rsplit_once(" at line ").map_or(text, |(text, _)| text)
}
