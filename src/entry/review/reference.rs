use super::names::quote;
use super::{entries, is_complete, Draft, Field, Names, Report};

/// Checks what entries of one list need of another.
pub(super) fn check(draft: &Draft, names: &Names, report: &mut Report) {
    if is_complete(&draft.services) {
        check_shares(draft, names, report);
    }
    if is_complete(&draft.routes) {
        check_services(draft, names, report);
    }
    if is_complete(&draft.workspaces) {
        check_keys(draft, names, report);
    }
}

/// Reports shares of services that do not exist.
fn check_shares(draft: &Draft, names: &Names, report: &mut Report) {
    let services = draft.services.iter().flatten();
    let mut known: Vec<&str> = services.map(|service| &*service.name).collect();
    known.sort_unstable();
    for (place, statement) in entries(&draft.routes, Field::Routes, names) {
        for (index, (service, _)) in statement.route.shares.iter().enumerate() {
            if known.binary_search(&&**service).is_ok() {
                continue;
            }
            let share = match statement.lists_shares {
                true => format!("{}[{index}]", names.within(&place, Field::Shares)),
                false => place.clone(),
            };
            let message = format!("{} is not a service", quote(service));
            report.error(names.within(&share, Field::Service), message);
        }
    }
}

/// Reports services that no route names.
fn check_services(draft: &Draft, names: &Names, report: &mut Report) {
    let routes = draft.routes.iter().flatten();
    let shares = routes.flat_map(|statement| &statement.route.shares);
    let mut named: Vec<&str> = shares.map(|(service, _)| &**service).collect();
    named.sort_unstable();
    for (place, service) in entries(&draft.services, Field::Services, names) {
        if named.binary_search(&&*service.name).is_err() {
            report.warn(place, format!("no route names {}", quote(&service.name)));
        }
    }
}

/// Reports routes that need a key while there is none. Without workspaces no route needs one.
fn check_keys(draft: &Draft, names: &Names, report: &mut Report) {
    let mut workspaces = draft.workspaces.iter().flatten();
    let has_keys = workspaces.any(|workspace| !workspace.keys.is_empty());
    if draft.workspaces.is_empty() || has_keys {
        return;
    }
    for (place, statement) in entries(&draft.routes, Field::Routes, names) {
        if !statement.route.allow_anonymous {
            let message = "requests need a key, but no workspace has one";
            report.warn(names.within(&place, Field::AllowAnonymous), message);
        }
    }
}
