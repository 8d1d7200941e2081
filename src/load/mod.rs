//! Load generator, embedded fleet and report.

mod caller;
mod fleet;

pub use caller::Answer;
pub use caller::Caller;
pub use fleet::Fleet;
pub use fleet::Settings;
