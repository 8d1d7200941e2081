//! Load generator, embedded fleet and report.
