//! Guards against requests that use the wrong route, keys that do not exist, and splits that do not follow the weights.

use jujubehook::entry::{Config, Limits, Route, Workspace};

fn route(host: &str, prefix: &str, service: &str) -> Route {
    Route {
        host: host.into(),
        prefix: prefix.into(),
        shares: vec![(service.into(), 1)],
        ..Route::default()
    }
}

fn config() -> Config {
    let routes = vec![
        route("a.example", "/", "all"),
        route("a.example", "/long/", "long"),
        route("a.example", "/long/er/", "longer"),
        route("b.example", "/only/", "only"),
    ];
    let workspaces = vec![Workspace {
        keys: vec!["key-1".into(), "key-2".into()],
        name: "north".into(),
        priority: None,
    }];
    Config::new(1, Limits::default(), routes, Vec::new(), workspaces)
}

fn found(host: &str, path: &str) -> Option<String> {
    let config = config();
    let route = config.route(host, path)?;
    route.service(0).map(str::to_owned)
}

/// The longest path prefix of the host wins; prefixes end at slashes.
#[test]
fn longest_prefix_wins() {
    assert_eq!(found("a.example", "/long/er/x").as_deref(), Some("longer"));
    assert_eq!(found("a.example", "/long/erx").as_deref(), Some("long"));
    assert_eq!(found("a.example", "/longer").as_deref(), Some("all"));
    assert_eq!(found("b.example", "/other"), None);
    assert_eq!(found("c.example", "/long/"), None);
    assert_eq!(found("a.example", ""), None);
}

/// Each key finds its workspace, and no other text does.
#[test]
fn keys_find_workspaces() {
    let config = config();
    assert_eq!(
        config.workspace("key-2").map(|found| &*found.name),
        Some("north")
    );
    assert!(config.workspace("key-").is_none());
    assert!(config.workspace("").is_none());
}

/// Requests are split by weight, and equal hashes are always routed alike.
#[test]
fn weights_split() {
    let split = Route {
        shares: vec![("big".into(), 90), ("none".into(), 0), ("small".into(), 10)],
        ..Route::default()
    };
    let count = |name: &str| {
        (0..1_000)
            .filter(|hash| split.service(*hash) == Some(name))
            .count()
    };
    assert_eq!((count("big"), count("none"), count("small")), (900, 0, 100));
    assert_eq!(
        Route {
            shares: Vec::new(),
            ..split
        }
        .service(5),
        None
    );
}
