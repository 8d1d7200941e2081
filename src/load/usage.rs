use std::fs;
use std::time::{Duration, Instant};

use serde::Serialize;

/// Ticks per second of the times in `/proc`; fixed by the kernel's interface.
const TICKS: f64 = 100.0;

/// Processor time and memory of this process.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Usage {
    /// Mean number of busy cores.
    pub cores: f64,
    /// Largest resident memory in MB.
    pub peak_mb: f64,
}

/// Start of a measurement of this process.
pub(super) struct Watch {
    busy: Duration,
    start: Instant,
}

impl Watch {
    pub(super) fn start() -> Self {
        Self {
            busy: busy(),
            start: Instant::now(),
        }
    }

    pub(super) fn read(&self) -> Usage {
        let busy = busy().saturating_sub(self.busy).as_secs_f64();
        Usage {
            cores: busy / self.start.elapsed().as_secs_f64().max(1e-9),
            peak_mb: peak_kb() / 1_000.0,
        }
    }
}

/// Processor time of all threads; 0 where there is no `/proc`.
fn busy() -> Duration {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The second field is the program's name in parentheses and may contain spaces.
    let fields = text.rsplit(')').next().unwrap_or_default();
    let times = fields.split_whitespace().skip(11).take(2);
    let ticks: f64 = times.filter_map(|time| time.parse::<f64>().ok()).sum();
    Duration::from_secs_f64(ticks / TICKS)
}

fn peak_kb() -> f64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let value = line.and_then(|line| line.split_whitespace().next());
    value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}
