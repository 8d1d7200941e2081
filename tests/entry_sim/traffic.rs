use std::time::Duration;

use super::Faults;
use crate::entry_fixtures::ms;

/// Kinds of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Class {
    Chat,
    Contract,
    Export,
}

impl Class {
    /// Tokens of a prompt: log-normal.
    pub(super) fn prompt(self, random: &mut fastrand::Rng) -> u32 {
        let (median, spread, max) = match self {
            Class::Chat => (4_000.0, 0.8, 23_800.0),
            Class::Contract => (45_000.0, 0.5, 110_000.0),
            Class::Export => (260_000.0, 0.55, 900_000.0),
        };
        let (a, b) = (1.0 - random.f64(), random.f64());
        let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        let tokens: f64 = median * (spread * normal).exp();
        tokens.min(max) as u32
    }

    pub(super) fn deadline(self) -> Duration {
        match self {
            Class::Chat => ms(2_400),
            Class::Contract => ms(6_400),
            Class::Export => ms(15_000),
        }
    }

    pub(super) fn decode_time(self) -> Duration {
        match self {
            Class::Chat => ms(1_900),
            Class::Contract => ms(1_200),
            Class::Export => ms(1_300),
        }
    }

    pub(super) fn gap(self) -> Duration {
        match self {
            Class::Chat => ms(300),
            Class::Contract => ms(800),
            Class::Export => ms(1_200),
        }
    }

    pub(crate) fn objective(self) -> Duration {
        match self {
            Class::Chat => ms(400),
            Class::Contract => ms(1_500),
            Class::Export => ms(4_000),
        }
    }
}

/// Requests a second of each kind, until a time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Phase {
    pub(crate) chats: f64,
    pub(crate) contracts: f64,
    pub(crate) exports: f64,
    pub(crate) until: Duration,
}

/// Callers, and the fleet that serves them.
#[derive(Clone, Debug)]
pub(crate) struct Traffic {
    /// Whether long prompts that cannot be in time are refused without a wait.
    pub(crate) admits_long_prompts: bool,
    pub(crate) engines: usize,
    pub(crate) faults: Faults,
    pub(crate) instances: usize,
    /// In the order of their ends.
    pub(crate) phases: Vec<Phase>,
    pub(crate) seed: u64,
    pub(crate) slots: u32,
}

impl Default for Traffic {
    fn default() -> Traffic {
        Traffic {
            admits_long_prompts: false,
            engines: 195,
            faults: Faults::default(),
            instances: 32,
            phases: Vec::new(),
            seed: 1,
            slots: 10,
        }
    }
}

impl Traffic {
    /// Callers that arrive within the millisecond from `now` on.
    pub(super) fn arrivals(&self, now: Duration) -> Vec<Class> {
        let Some(phase) = self.phases.iter().find(|phase| now < phase.until) else {
            return Vec::new();
        };
        let now = now.as_millis() as f64;
        let rates = [
            (Class::Chat, phase.chats),
            (Class::Contract, phase.contracts),
            (Class::Export, phase.exports),
        ];
        let arrived = |until: f64, per_s: f64| (until * per_s / 1_000.0) as u64;
        let due = |per_s| arrived(now + 1.0, per_s) - arrived(now, per_s);
        let classes = rates.into_iter();
        classes
            .flat_map(|(class, per_s)| (0..due(per_s)).map(move |_| class))
            .collect()
    }
}
