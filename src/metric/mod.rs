//! Prometheus metrics of the daemon.
