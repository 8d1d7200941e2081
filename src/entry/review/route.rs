use super::super::{Route, RouteKind};
use super::names::{millis, quote};
use super::{Field, Names, Report, Statement};

/// Checks a route by itself.
pub(super) fn check(place: &str, statement: &Statement, names: &Names, report: &mut Report) {
    let route = &statement.route;
    if route.name.is_empty() {
        report.error(names.within(place, Field::Name), "is empty");
    }
    check_prefix(place, route, names, report);
    check_host(place, route, names, report);
    check_shares(place, statement, names, report);
    check_times(place, route, names, report);
    check_stream(place, statement, names, report);
    if route.kind.is_repeatable() && route.max_attempts == 1 {
        let message = format!(
            "1 attempt, but requests of kind `{}` may run again",
            (names.kind)(route.kind)
        );
        report.warn(names.within(place, Field::MaxAttempts), message);
    }
}

fn check_prefix(place: &str, route: &Route, names: &Names, report: &mut Report) {
    if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
        let message = format!(
            "{} does not begin and end with a slash",
            quote(&route.prefix)
        );
        report.error(names.within(place, Field::Prefix), message);
    }
}

fn check_host(place: &str, route: &Route, names: &Names, report: &mut Report) {
    let field = names.within(place, Field::Host);
    if route.host.is_empty() {
        report.error(field, "is empty");
    } else if let Some(reason) = mismatch(&route.host) {
        let message = format!("{} matches no request: {reason}", quote(&route.host));
        report.warn(field, message);
    }
}

/// Why no request has this host. The host of a request is its header without a port, in lower case; the header is
/// visible ASCII text, spaces or tabs, and begins with none of the latter two.
fn mismatch(host: &str) -> Option<&'static str> {
    let is_text = |byte: u8| matches!(byte, b'\t' | b' '..=b'~');
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Some("hosts are compared in lower case")
    } else if host.contains(':') {
        Some("hosts are compared without a port")
    } else if host.starts_with([' ', '\t']) {
        Some("spaces before a host are removed")
    } else if !host.bytes().all(is_text) {
        Some("it has characters that are not visible ASCII")
    } else {
        None
    }
}

fn check_shares(place: &str, statement: &Statement, names: &Names, report: &mut Report) {
    let shares = &statement.route.shares;
    let field = names.within(place, Field::Shares);
    if shares.is_empty() {
        report.warn(place, "names no service, so its requests are refused");
    } else if shares.iter().all(|(_, weight)| *weight == 0) {
        report.error(field, "all weights are 0");
    } else {
        for (index, (service, weight)) in shares.iter().enumerate() {
            if *weight == 0 {
                let share = names.within(&format!("{field}[{index}]"), Field::Weight);
                report.warn(share, format!("0, so {} gets no request", quote(service)));
            }
        }
    }
}

fn check_times(place: &str, route: &Route, names: &Names, report: &mut Report) {
    let times = [(Field::Objective, route.objective), (Field::Gap, route.gap)];
    for (field, time) in times {
        if time > route.timeout {
            let message = format!(
                "{} is longer than the timeout {}",
                millis(time),
                millis(route.timeout)
            );
            report.warn(names.within(place, field), message);
        }
    }
}

fn check_stream(place: &str, statement: &Statement, names: &Names, report: &mut Report) {
    let route = &statement.route;
    if matches!(route.kind, RouteKind::Stream { .. }) {
        return;
    }
    let kind = (names.kind)(route.kind);
    if statement.is_resumable {
        let message = format!("has no effect on kind `{kind}`, which has no streams");
        report.warn(names.within(place, Field::Resumable), message);
    }
    if !route.gap.is_zero() {
        let message = format!(
            "{} has no effect on kind `{kind}`, which has no streams",
            millis(route.gap)
        );
        report.warn(names.within(place, Field::Gap), message);
    }
}
