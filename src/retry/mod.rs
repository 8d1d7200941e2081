//! Retry budget and outlier ejection.

mod budget;
mod outlier;

pub use budget::Budget;
pub use outlier::{Outlier, Settings};
