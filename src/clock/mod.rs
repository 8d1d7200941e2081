//! Monotonic time, wall time and the logical clock of one process.
