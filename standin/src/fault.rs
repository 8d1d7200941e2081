//! Parsing of the fault switches in `POST /fault`.

use serde::Deserialize;
use serde_json::{Map, Value};

use crate::request::{refuse, Refusal, Request};

/// Switches that every stand-in has.
const COMMON: [&str; 6] = [
    "die",
    "die_ms",
    "down_ms",
    "drop_reply",
    "freeze_ms",
    "slow_ms",
];

/// Switches in one `POST /fault`; an absent one leaves its fault unchanged.
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
    /// Parses the switches. One that is neither common nor in `specific` is refused, so that a misspelt one is not
    /// ignored.
    pub(crate) fn read(request: &Request, specific: &[&str]) -> Result<Self, Refusal> {
        let map: Map<String, Value> = request.parse()?;
        let unknown = map
            .keys()
            .find(|key| !COMMON.contains(&key.as_str()) && !specific.contains(&key.as_str()));
        if let Some(name) = unknown {
            return Err(refuse(400, format!("unknown switch `{name}`")));
        }
        serde_json::from_value(Value::Object(map))
            .map_err(|error| refuse(400, format!("invalid switch: {error}")))
    }

    /// Duration of the outage that the switches ask for, in milliseconds; `die` takes `restart_ms`.
    pub(crate) fn outage_ms(&self, restart_ms: u64) -> Option<u64> {
        let die = self.die.filter(|die| *die).map(|_| restart_ms);
        self.die_ms.or(self.down_ms).or(die)
    }
}
