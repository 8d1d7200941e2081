//! Calls that may not be repeated: claims and recorded outcomes.
