use super::pairs::pairs;

/// Maximum digits of the fraction of a second in a timestamp; shorter fractions are padded to it.
const FRACTION_DIGITS: usize = 9;

/// A parsed event line. Lines are ordered by logical time, wall time and instance.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Line {
    /// Logical time.
    pub time: u64,
    /// Wall time in UTC, with nine fractional digits.
    pub ts: String,
    /// The instance that logged the event.
    pub instance: String,
    /// The failure domain of the instance.
    pub domain: String,
    /// Name of the event.
    pub event: String,
    /// The remaining pairs, in line order.
    pub fields: Vec<(String, String)>,
}

impl Line {
    /// Parses a line of the log that [`start`](super::start()) sets up.
    ///
    /// # Errors
    /// Describes why the line is malformed.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut fields = pairs(text)?;
        let mut take = |key: &str| {
            let index = fields
                .iter()
                .position(|(name, _)| name == key)
                .ok_or_else(|| format!("key `{key}` is missing"))?;
            Ok::<String, String>(fields.remove(index).1)
        };
        let time = take("time")?;
        Ok(Self {
            domain: take("domain")?,
            event: take("event")?,
            instance: take("instance")?,
            time: time
                .parse()
                .map_err(|_| format!("`{time}` is not a logical time"))?,
            ts: timestamp(&take("ts")?)?,
            fields,
        })
    }

    /// The value of the pair with this key among the remaining ones.
    pub fn field(&self, key: &str) -> Option<&str> {
        let (_, value) = self.fields.iter().find(|(name, _)| name == key)?;
        Some(value)
    }
}

/// Checks a timestamp such as `2026-01-31T12:00:00.5Z` and pads its fraction, so that timestamps compare as text.
fn timestamp(text: &str) -> Result<String, String> {
    let invalid = || format!("`{text}` is not a UTC time");
    let time = text.strip_suffix('Z').ok_or_else(invalid)?;
    let (seconds, fraction) = time.split_once('.').unwrap_or((time, ""));
    let pattern = |c: char| if c.is_ascii_digit() { '0' } else { c };
    let shape: String = seconds.chars().map(pattern).collect();
    let digits = fraction.chars().all(|c| c.is_ascii_digit());
    if shape != "0000-00-00T00:00:00" || !digits || fraction.len() > FRACTION_DIGITS {
        return Err(invalid());
    }
    Ok(format!("{seconds}.{fraction:0<FRACTION_DIGITS$}Z"))
}
