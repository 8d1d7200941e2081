use std::fs;
use std::time::{Duration, Instant};

use serde::Serialize;

/// Clock ticks per second of the times in `/proc`; fixed by the kernel's interface.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor time and memory of this process.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Usage {
    /// Mean number of busy cores: processor time divided by elapsed time.
    pub cores: f64,
    /// Peak resident memory of the process in MB.
    pub peak_mb: f64,
}

/// A measurement of this process that has been started.
pub(super) struct Meter {
    cpu_time: Duration,
    start: Instant,
}

impl Meter {
    pub(super) fn start() -> Self {
        Self {
            cpu_time: cpu_time(),
            start: Instant::now(),
        }
    }

    /// Usage since the start of the measurement.
    pub(super) fn usage(&self) -> Usage {
        let cpu_time = cpu_time().saturating_sub(self.cpu_time).as_secs_f64();
        Usage {
            cores: cpu_time / self.start.elapsed().as_secs_f64().max(1e-9),
            peak_mb: peak_kb() / 1_000.0,
        }
    }
}

/// User and system time of all threads; 0 where there is no `/proc`.
fn cpu_time() -> Duration {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The second field is the program name in parentheses, which may contain spaces. After it, fields 14 and 15 are the
    // user and system time.
    let fields = text.rsplit(')').next().unwrap_or_default();
    let times = fields.split_whitespace().skip(11).take(2);
    let ticks: f64 = times.filter_map(|time| time.parse::<f64>().ok()).sum();
    Duration::from_secs_f64(ticks / TICKS_PER_SECOND)
}

/// Peak resident memory; 0 where there is no `/proc`.
fn peak_kb() -> f64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let value = line.and_then(|line| line.split_whitespace().next());
    value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}
