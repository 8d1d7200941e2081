use super::names::quote;
use super::{entries, Draft, Field, Names, Report};

/// Reports names, keys and prefixes that occur more than once.
pub(super) fn check(draft: &Draft, names: &Names, report: &mut Report) {
    let routes = entries(&draft.routes, Field::Routes, names);
    let routes = routes.map(|(place, statement)| (&*statement.route.name, place));
    check_names(routes, names, report);
    let services = entries(&draft.services, Field::Services, names);
    check_names(
        services.map(|(place, service)| (&*service.name, place)),
        names,
        report,
    );
    let workspaces = entries(&draft.workspaces, Field::Workspaces, names);
    let workspaces = workspaces.map(|(place, workspace)| (&*workspace.name, place));
    check_names(workspaces, names, report);
    check_keys(draft, names, report);
    check_prefixes(draft, names, report);
}

fn check_names<'a>(
    list: impl Iterator<Item = (&'a str, String)>,
    names: &Names,
    report: &mut Report,
) {
    // An empty name is reported by itself.
    let list = list.filter(|(name, _)| !name.is_empty());
    for_each_repeated(list, |name, first, place| {
        let message = format!("{} is also the name of {first}", quote(name));
        report.error(names.within(place, Field::Name), message);
    });
}

fn check_keys(draft: &Draft, names: &Names, report: &mut Report) {
    let workspaces = entries(&draft.workspaces, Field::Workspaces, names);
    let keys = workspaces.flat_map(|(place, workspace)| {
        // A key may be repeated in one workspace.
        let mut keys: Vec<(&str, usize)> = Vec::new();
        keys.extend(
            workspace
                .keys
                .iter()
                .enumerate()
                .map(|(index, key)| (&**key, index)),
        );
        keys.sort_unstable();
        keys.dedup_by_key(|(key, _)| *key);
        let list = names.within(&place, Field::Keys);
        keys.into_iter()
            .map(move |(key, index)| (key, format!("{list}[{index}]")))
    });
    for_each_repeated(keys, |_, first, place| {
        report.error(place, format!("the same key as {first}"));
    });
}

fn check_prefixes(draft: &Draft, names: &Names, report: &mut Report) {
    let routes = entries(&draft.routes, Field::Routes, names);
    let routes = routes.map(|(place, statement)| {
        let route = &statement.route;
        ((&*route.host, &*route.prefix), place)
    });
    for_each_repeated(routes, |(host, prefix), first, place| {
        let (host, prefix) = (quote(host), quote(prefix));
        let message = format!("host {host} and prefix {prefix} are those of {first}");
        report.warn(place, message);
    });
}

/// Calls `repeat` with the key, the first place and each further place of all keys that occur more than once.
fn for_each_repeated<K: Copy + Ord>(
    list: impl Iterator<Item = (K, String)>,
    mut repeat: impl FnMut(K, &str, &str),
) {
    let mut list: Vec<(K, String)> = list.collect();
    // Stable: the places of a key stay in order.
    list.sort_by_key(|(key, _)| *key);
    for group in list.chunk_by(|(a, _), (b, _)| a == b) {
        if let [(key, first), others @ ..] = group {
            others
                .iter()
                .for_each(|(_, place)| repeat(*key, first, place));
        }
    }
}
