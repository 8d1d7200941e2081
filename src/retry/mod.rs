//! Retry budget and outlier ejection.
//!
//! Both only limit retries; whether an attempt may be repeated at all follows from its error and its deadline.

mod budget;
mod outliers;

pub use budget::Budget;
pub use outliers::{Outliers, Settings};
