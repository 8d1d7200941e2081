//! Fault switches as they arrive in `POST /fault`.

use serde::Deserialize;
use serde_json::{Map, Value};

use crate::ask::{refuse, Ask, Refusal};

/// Switches that every stand-in has.
const COMMON: [&str; 6] = [
    "die",
    "die_ms",
    "down_ms",
    "drop_reply",
    "freeze_ms",
    "slow_ms",
];

/// Switches of one `POST /fault`; an absent switch stays as it is.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Fault {
    pub(crate) cold: Option<bool>,
    pub(crate) cross: Option<bool>,
    pub(crate) die: Option<bool>,
    pub(crate) die_ms: Option<u64>,
    pub(crate) down_ms: Option<u64>,
    pub(crate) drop_reply: Option<u64>,
    pub(crate) event_gap: Option<u64>,
    pub(crate) freeze_ms: Option<u64>,
    pub(crate) lag_ms: Option<u64>,
    pub(crate) late_reports_ms: Option<u64>,
    pub(crate) rate: Option<f64>,
    pub(crate) retention: Option<usize>,
    pub(crate) slow_ms: Option<u64>,
}

impl Fault {
    /// Reads the switches; one that is neither common nor in `own` is refused, so that no fault is silently missing.
    pub(crate) fn read(ask: &Ask, own: &[&str]) -> Result<Self, Refusal> {
        let map: Map<String, Value> = ask.parse()?;
        let strange = map
            .keys()
            .find(|key| !COMMON.contains(&key.as_str()) && !own.contains(&key.as_str()));
        if let Some(name) = strange {
            return Err(refuse(400, format!("unknown switch `{name}`")));
        }
        serde_json::from_value(Value::Object(map))
            .map_err(|error| refuse(400, format!("invalid switch: {error}")))
    }

    /// How long the stand-in is to be away, in milliseconds.
    pub(crate) fn outage_ms(&self, restart_ms: u64) -> Option<u64> {
        let die = self.die.filter(|die| *die).map(|_| restart_ms);
        self.die_ms.or(self.down_ms).or(die)
    }
}
