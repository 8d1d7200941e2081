//! Retry budget and outlier ejection.
