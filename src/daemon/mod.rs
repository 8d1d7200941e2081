//! The daemon: caller API, peer API and background loops.
