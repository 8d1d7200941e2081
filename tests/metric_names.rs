//! Guards against metrics that are undocumented or lack a unit, and against an unbounded number of label values.

use std::collections::BTreeSet;
use std::time::Duration;

use jujubehook::error::Kind;
use jujubehook::metric::Registry;

const LABELS: &[&str] = &["channel", "class", "le", "outcome", "state"];
const LIST: &str = include_str!("../docs/metrics.md");
const UNITLESS: &[&str] = &["jujubehook_owned_targets", "jujubehook_record_offset"];
const UNITS: &[&str] = &["_seconds", "_total"];

/// All metric names in the `# TYPE` lines of `page`.
fn names(page: &str) -> BTreeSet<&str> {
    let types = page.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    types.filter_map(|line| line.split(' ').next()).collect()
}

#[test]
fn names_are_listed() {
    let page = Registry::new().unwrap().render();
    let listed = LIST.lines().filter_map(|line| line.strip_prefix("| `"));
    let listed: BTreeSet<_> = listed.filter_map(|line| line.split('`').next()).collect();
    assert_eq!(names(&page), listed);
    for name in listed {
        let unit = UNITS.iter().any(|unit| name.ends_with(unit));
        assert!(unit || UNITLESS.contains(&name), "`{name}` has no unit");
    }
}

#[test]
fn labels_are_bounded() {
    let registry = Registry::new().unwrap();
    for value in ["request-1", "request-2", "k-secret"] {
        registry.count_claim(value);
        registry.count_dispatch(value);
        registry.observe_first_token(value, Duration::from_millis(1));
        registry.count_gang(value);
        registry.observe_queue_wait(value, Duration::ZERO);
        registry.count_request(value, 1, None);
    }
    let page = registry.render();
    assert!(!page.contains("request-") && !page.contains("secret"));
    assert!(page.contains(r#"jujubehook_claims_total{outcome="other"} 3"#));
    for line in page.lines().filter(|line| !line.starts_with('#')) {
        let Some((_, labels)) = line.split_once('{') else {
            continue;
        };
        for pair in labels.split("\",") {
            let name = pair.split('=').next().unwrap();
            assert!(LABELS.contains(&name), "`{line}`");
        }
    }
}

#[test]
fn instances_are_separate() {
    let (first, second) = (Registry::new().unwrap(), Registry::new().unwrap());
    first.count_request("short", 300, Some(Kind::Overloaded));
    first.count_token(Some(Duration::from_millis(20)));
    first.observe_heartbeat_ages([Duration::from_millis(250), Duration::from_millis(500)]);
    first.set_record_offset(9);
    let refused = r#"jujubehook_requests_total{class="short",outcome="overloaded"}"#;
    let (first, second) = (first.render(), second.render());
    assert!(first.contains(&format!("{refused} 1")));
    assert!(second.contains(&format!("{refused} 0")));
    assert!(first.contains("jujubehook_heartbeat_age_oldest_seconds 0.5"));
    assert!(first.contains("jujubehook_record_offset 9"));
    assert!(first.contains(r#"jujubehook_prompt_tokens_total{class="short"} 300"#));
}
