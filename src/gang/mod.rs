//! Prompts that need several engines: reservation and release.
