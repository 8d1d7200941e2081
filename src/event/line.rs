use super::pairs::pairs;

/// Longest fraction of a second in a time stamp, in digits.
const FRACTION_DIGITS: usize = 9;

/// One event line; lines are ordered by logical time, wall time and instance.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Line {
    /// Logical time.
    pub time: u64,
    /// Wall time in UTC, with nine digits of a second.
    pub ts: String,
    /// The instance that logged the event.
    pub instance: String,
    /// The failure domain of the instance.
    pub domain: String,
    /// Name of the event.
    pub event: String,
    /// The other pairs in the order of the line.
    pub fields: Vec<(String, String)>,
}

impl Line {
    /// Parses one line as [`start`](super::start()) writes it.
    ///
    /// # Errors
    /// Says what is wrong with the line.
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
            ts: stamp(&take("ts")?)?,
            fields,
        })
    }

    /// The value of another pair.
    pub fn field(&self, key: &str) -> Option<&str> {
        let (_, value) = self.fields.iter().find(|(name, _)| name == key)?;
        Some(value)
    }
}

/// Pads a time stamp such as `2026-01-31T12:00:00.5Z`, so that stamps compare as text.
fn stamp(text: &str) -> Result<String, String> {
    let bad = || format!("`{text}` is not a UTC time");
    let plain = text.strip_suffix('Z').ok_or_else(bad)?;
    let (seconds, fraction) = plain.split_once('.').unwrap_or((plain, ""));
    let pattern = |c: char| if c.is_ascii_digit() { '0' } else { c };
    let shape: String = seconds.chars().map(pattern).collect();
    let digits = fraction.chars().all(|c| c.is_ascii_digit());
    if shape != "0000-00-00T00:00:00" || !digits || fraction.len() > FRACTION_DIGITS {
        return Err(bad());
    }
    Ok(format!("{seconds}.{fraction:0<FRACTION_DIGITS$}Z"))
}
