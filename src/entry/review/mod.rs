//! Review of a configuration before it is written to the store. Load: instances skip what they cannot read of a
//! configuration, and entries that no request can match go unnoticed until requests are refused.
//!
//! No I/O. The fields of a configuration have names only where it is read, so the caller passes them in ([`Names`]).

mod change;
mod duplicate;
mod limit;
mod names;
mod read;
mod reference;
mod report;
mod route;

use super::{Limits, Route, Service, Workspace};

pub use names::{Field, Names};
pub use read::{read_list, read_text, MAX_BYTES};
pub use report::{Finding, Report, ATTEMPTS, MAX_TIME, TIMEOUTS, TIMES};

/// A configuration that is not in force yet. Entries that cannot be read are none, so that the others keep their places.
#[derive(Clone, Debug, Default)]
pub struct Draft {
    /// Limits for callers.
    pub limits: Limits,
    /// Routes.
    pub routes: Vec<Option<Statement>>,
    /// Services.
    pub services: Vec<Option<Service>>,
    /// Version.
    pub version: u64,
    /// Workspaces.
    pub workspaces: Vec<Option<Workspace>>,
}

/// A route, with what its type does not keep of the text.
#[derive(Clone, Debug, Default)]
pub struct Statement {
    /// Whether the text says that streams can be resumed, also if the route has none.
    pub is_resumable: bool,
    /// Whether the services are a list with weights, and not a single name.
    pub lists_shares: bool,
    /// The route.
    pub route: Route,
}

/// Reports the errors of a configuration, its entries that can never match and its contradictory limits.
pub fn check(draft: &Draft, names: &Names, report: &mut Report) {
    for (place, statement) in entries(&draft.routes, Field::Routes, names) {
        route::check(&place, statement, names, report);
    }
    for (place, service) in entries(&draft.services, Field::Services, names) {
        limit::check_service(&place, service, names, report);
    }
    for (place, workspace) in entries(&draft.workspaces, Field::Workspaces, names) {
        limit::check_workspace(&place, workspace, names, report);
    }
    limit::check_limits(&draft.limits, names, report);
    duplicate::check(draft, names, report);
    reference::check(draft, names, report);
    report.drop_consequences();
}

/// Reports the differences between the configuration in force and its successor, which must have a higher version.
pub fn compare(before: &Draft, after: &Draft, names: &Names, report: &mut Report) {
    if after.version <= before.version {
        let message = format!(
            "{} is not higher than {}, the version in force",
            after.version, before.version
        );
        report.error((names.field)(Field::Version), message);
    }
    change::compare(before, after, names, report);
}

/// The readable entries of a list, with their places.
fn entries<'a, T>(
    list: &'a [Option<T>],
    field: Field,
    names: &'a Names,
) -> impl Iterator<Item = (String, &'a T)> + 'a {
    let readable = list.iter().enumerate();
    readable.filter_map(move |(index, entry)| Some((names.entry(field, index), entry.as_ref()?)))
}

/// Whether all entries of a list are readable. What is missing elsewhere may be in an unreadable one.
fn is_complete<T>(list: &[Option<T>]) -> bool {
    list.iter().all(Option::is_some)
}
