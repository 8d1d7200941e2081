use super::super::{Limits, Profile, RouteKind, Service, Workspace};
use super::names::{millis, quote};
use super::{entries, is_complete, Draft, Field, Names, Report, Statement};

/// Characters of a key that are shown. Keys are secrets.
const SHOWN_CHARACTERS: usize = 4;

/// Value of a field.
type Row = (Vec<Field>, Value);

#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Value {
    /// Unequal for values that are shown alike.
    exact: String,
    shown: String,
}

/// An entry of a list.
struct Item {
    name: String,
    place: String,
    rows: Vec<Row>,
}

/// Reports the differences, field by field.
pub(super) fn compare(before: &Draft, after: &Draft, names: &Names, report: &mut Report) {
    let lists: [fn(&Draft, &Names) -> Vec<Item>; 3] = [route_items, service_items, workspace_items];
    let complete = [
        is_complete(&after.routes),
        is_complete(&after.services),
        is_complete(&after.workspaces),
    ];
    for (items, is_complete) in lists.into_iter().zip(complete) {
        let (mut before, after) = (items(before, names), items(after, names));
        before.sort_by(|a, b| a.name.cmp(&b.name));
        compare_items(&before, &after, names, report);
        if is_complete {
            report_removed(before, &after, report);
        }
    }
    let place = (names.field)(Field::Limits);
    let rows = [limit_rows(&before.limits), limit_rows(&after.limits)];
    compare_rows(place, &rows[0], &rows[1], names, report);
}

/// Compares entries with those of the same name in `before`, which is sorted by name.
fn compare_items(before: &[Item], after: &[Item], names: &Names, report: &mut Report) {
    for item in after {
        let found = before.binary_search_by(|known| known.name.cmp(&item.name));
        match found {
            Ok(at) => compare_rows(&item.place, &before[at].rows, &item.rows, names, report),
            Err(_) => report.change(&item.place, format!("{} is added", quote(&item.name))),
        }
    }
}

fn report_removed(before: Vec<Item>, after: &[Item], report: &mut Report) {
    let mut kept: Vec<&str> = after.iter().map(|item| &*item.name).collect();
    kept.sort_unstable();
    for item in before {
        if kept.binary_search(&&*item.name).is_err() {
            let message = format!(
                "{} is removed; its place is that in the version in force",
                quote(&item.name)
            );
            report.change(item.place, message);
        }
    }
}

fn compare_rows(place: &str, before: &[Row], after: &[Row], names: &Names, report: &mut Report) {
    for ((path, old), (_, new)) in before.iter().zip(after) {
        if old != new {
            let place = path.iter().fold(place.to_owned(), |place, field| {
                names.within(&place, *field)
            });
            report.change(
                place,
                format!("changed from {} to {}", old.shown, new.shown),
            );
        }
    }
}

fn route_items(draft: &Draft, names: &Names) -> Vec<Item> {
    let routes = entries(&draft.routes, Field::Routes, names);
    let items = routes.map(|(place, statement)| Item {
        name: statement.route.name.clone(),
        place,
        rows: route_rows(statement, names),
    });
    items.collect()
}

fn service_items(draft: &Draft, names: &Names) -> Vec<Item> {
    let services = entries(&draft.services, Field::Services, names);
    let items = services.map(|(place, service)| Item {
        name: service.name.clone(),
        place,
        rows: service_rows(service),
    });
    items.collect()
}

fn workspace_items(draft: &Draft, names: &Names) -> Vec<Item> {
    let workspaces = entries(&draft.workspaces, Field::Workspaces, names);
    let items = workspaces.map(|(place, workspace)| Item {
        name: workspace.name.clone(),
        place,
        rows: workspace_rows(workspace),
    });
    items.collect()
}

fn route_rows(statement: &Statement, names: &Names) -> Vec<Row> {
    let route = &statement.route;
    let shares: Vec<String> = route
        .shares
        .iter()
        .map(|(service, weight)| format!("{} {weight}", quote(service)))
        .collect();
    let resumable = match route.kind {
        RouteKind::Stream { resumable } => resumable,
        RouteKind::Once | RouteKind::Repeatable => statement.is_resumable,
    };
    vec![
        row(Field::AllowAnonymous, route.allow_anonymous),
        row(Field::Gap, millis(route.gap)),
        row(Field::Host, quote(&route.host)),
        row(Field::Kind, quote((names.kind)(route.kind))),
        row(Field::MaxAttempts, route.max_attempts),
        row(Field::Objective, millis(route.objective)),
        row(Field::Prefix, quote(&route.prefix)),
        row(Field::Priority, route.priority),
        row(Field::Resumable, resumable),
        row(Field::Shares, shares.join(", ")),
        row(Field::Timeout, millis(route.timeout)),
    ]
}

fn service_rows(service: &Service) -> Vec<Row> {
    let profile = service.profile.as_ref();
    let text = |value: fn(&Profile) -> String| profile.map_or_else(|| "none".into(), value);
    let values = [
        (
            Field::ContextPerK,
            text(|profile| millis(profile.context_per_k)),
        ),
        (
            Field::MemoryTokens,
            text(|profile| profile.memory_tokens.to_string()),
        ),
        (
            Field::PairsPerM,
            text(|profile| millis(profile.pairs_per_m)),
        ),
        (
            Field::ReadPerS,
            text(|profile| profile.read_per_s.to_string()),
        ),
        (Field::Slots, text(|profile| profile.slots.to_string())),
        (Field::Step, text(|profile| millis(profile.step))),
        (Field::Stride, text(|profile| profile.stride.to_string())),
    ];
    let mut rows = vec![row(Field::ColdPerS, service.cold_per_s)];
    rows.extend(values.map(|(field, value)| (vec![Field::Profile, field], plain(value))));
    rows
}

fn workspace_rows(workspace: &Workspace) -> Vec<Row> {
    let priority = workspace
        .priority
        .map_or_else(|| "none".into(), |priority| priority.to_string());
    let mut keys: Vec<&str> = workspace.keys.iter().map(String::as_str).collect();
    keys.sort_unstable();
    let shown: Vec<String> = keys.iter().map(|key| abbreviate(key)).collect();
    let keys = Value {
        exact: format!("{keys:?}"),
        shown: format!("{} ({})", shown.len(), shown.join(", ")),
    };
    vec![(vec![Field::Keys], keys), row(Field::Priority, priority)]
}

fn limit_rows(limits: &Limits) -> Vec<Row> {
    vec![
        row(Field::IdleTimeout, millis(limits.idle_timeout)),
        row(Field::MaxBodyBytes, limits.max_body_bytes),
        row(Field::MaxHeaderBytes, limits.max_header_bytes),
    ]
}

fn row(field: Field, value: impl ToString) -> Row {
    (vec![field], plain(value.to_string()))
}

fn plain(text: String) -> Value {
    Value {
        exact: text.clone(),
        shown: text,
    }
}

/// The beginning of a key, at most half of it.
fn abbreviate(key: &str) -> String {
    let shown = SHOWN_CHARACTERS.min(key.chars().count() / 2);
    let begin: String = key.chars().take(shown).collect();
    quote(&format!("{begin}…"))
}
