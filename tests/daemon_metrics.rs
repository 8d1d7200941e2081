//! Guards against metrics that a running daemon never sets.

use std::net::SocketAddr;

use jujubehook::load::{Fleet, Settings};
use jujubehook_http::http_types::Method;
use jujubehook_http::{Client, Reuse};

const MAX_PAGE_BYTES: usize = 1 << 20;

async fn metrics_page(address: SocketAddr) -> String {
    let request = Client::request(Method::Get, address, "/metrics").unwrap();
    let client = Client::default();
    let call = client.fetch(address, request, Reuse::Never, MAX_PAGE_BYTES);
    String::from_utf8(call.await.unwrap().1).unwrap()
}

fn value(page: &str, name: &str) -> u64 {
    let line = page.lines().find_map(|line| line.strip_prefix(name));
    line.unwrap().trim().parse().unwrap()
}

#[test]
fn owned_and_control() {
    smol::block_on(async {
        let settings = Settings {
            domains: 1,
            engines: 2,
            instances: 2,
            ..Settings::default()
        };
        let fleet = Fleet::start(settings).await.unwrap();
        let mut owned = 0;
        for entry in fleet.entries() {
            let page = metrics_page(entry).await;
            owned += value(&page, "jujubehook_owned_targets");
            for channel in ["heartbeat", "list", "log", "peer"] {
                for direction in ["received", "sent"] {
                    let name = format!(
                        "jujubehook_control_{direction}_bytes_total{{channel=\"{channel}\"}}"
                    );
                    assert!(value(&page, &name) > 0, "{name}");
                }
            }
        }
        // The targets are two engines and one service.
        assert_eq!(owned, 3);
    });
}
