//! Load generator: reproducible arrivals, an embedded fleet of instances and stand-ins to send them to, and the report.

mod arrival;
mod balancer;
mod caller;
mod fleet;
mod measure;
mod outcome;
mod plan;
mod plot;
mod profile;
mod prompt;
mod report;
mod run;
mod tally;
mod usage;

pub use arrival::Arrival;
pub use arrival::Work;
pub use caller::Answer;
pub use caller::Caller;
pub use fleet::Fleet;
pub use fleet::Settings;
pub use measure::measure;
pub use plan::Plan;
pub use plot::plot_first_tokens;
pub use plot::plot_service;
pub use profile::Profile;
pub use report::Control;
pub use report::Failure;
pub use report::Point;
pub use report::Report;
pub use report::Row;
pub use report::Sales;
pub use report::Second;
pub use report::Targets;
pub use usage::Usage;
