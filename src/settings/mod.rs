//! Daemon settings, read from TOML and checked before start.
