//! Guards against an instance list that is not followed any more because of one entry that cannot be read.

use jujubehook::remote::{List, Listing, Settings};
use jujubehook_http::Server;

const GOOD: &str =
    r#"{"id":"a","role":"engine","address":"127.0.0.1:2","domain":"x","state":"live","model":"m"}"#;

/// The listing that a client makes of a body.
fn fetch(body: String) -> Listing {
    smol::block_on(async {
        let handler = move |_, _| {
            let body = body.clone();
            async move { jujubehook_http::text(200, body) }
        };
        let server = Server::start(([127, 0, 0, 1], 0).into(), handler)
            .await
            .unwrap();
        let list = List::new(server.address(), Settings::default());
        list.fetch(None).await.unwrap().unwrap()
    })
}

fn odd_entries() -> Vec<String> {
    let entry = |address: &str, domain: &str| {
        format!(
            r#"{{"id":"odd","role":"engine","address":{address},"domain":{domain},"state":"live","model":"m"}}"#
        )
    };
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let mut odd = vec![
        entry(r#""127.0.0.1:70000""#, r#""x""#),
        entry(r#""127.0.0.1:-1""#, r#""x""#),
        entry("1e400", r#""x""#),
        entry(r#""127.0.0.1:2""#, "18446744073709551616"),
        entry(r#""127.0.0.1:2""#, &nested),
        nested,
    ];
    odd.extend(
        [
            "null",
            "0",
            "-1e999",
            r#""""#,
            "{}",
            "[]",
            r#"{"id":"odd"}"#,
        ]
        .map(str::to_owned),
    );
    odd
}

#[test]
fn odd_entry() {
    for odd in odd_entries() {
        let body = format!(r#"{{"version":4,"instances":[{odd},{GOOD}]}}"#);
        let listing = fetch(body);
        assert_eq!(listing.version, 4);
        assert!(listing.member("a").is_some());
        assert_eq!((listing.instances.len(), listing.faults.len()), (1, 1));
        // The log line stays short.
        assert!(listing.faults[0].len() < 400, "{}", listing.faults[0]);
    }
}

#[test]
fn all_read() {
    let listing = fetch(format!(r#"{{"version":4,"instances":[{GOOD}]}}"#));
    assert_eq!((listing.instances.len(), listing.faults.len()), (1, 0));
}
