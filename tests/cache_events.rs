//! Guards against a new owner that expects cached prefixes which the engine has evicted, or does not recognize those
//! that the engine has.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use jujubehook::remote::{cached_blocks, Change, Completion, Effect, Engine};
use jujubehook::route::prefix_hashes;
use jujubehook_http::{Client, Connection};
use jujubehook_standin::engine::Settings;
use smol::Timer;

/// The stand-in reports events at most 1 s late with the settings of this test.
const EVENTS_TIMEOUT: Duration = Duration::from_secs(5);

fn change(sequence: u64, kind: Effect, blocks: &[u64]) -> Change {
    Change {
        blocks: blocks.iter().map(|block| format!("{block:016x}")).collect(),
        kind,
        sequence,
    }
}

#[test]
fn gap_forgets() {
    use Effect::{Cleared, Removed, Stored};

    let whole = [
        change(4, Stored, &[7, 3, 9]),
        change(5, Removed, &[3]),
        change(6, Stored, &[7, 1]),
    ];
    assert_eq!(cached_blocks(&whole), [1, 7, 9]);
    let gap = [change(4, Stored, &[7, 3]), change(6, Stored, &[1])];
    assert_eq!(cached_blocks(&gap), [1]);
    let cleared = [change(1, Stored, &[7]), change(2, Cleared, &[])];
    assert_eq!(cached_blocks(&cleared), Vec::<u64>::new());
    assert_eq!(cached_blocks(&[]), Vec::<u64>::new());
}

#[test]
fn same_blocks() {
    smol::block_on(async {
        let settings = Settings {
            prefill_rate: 1e6,
            ..Settings::default()
        };
        let address = (Ipv4Addr::LOCALHOST, 0).into();
        let server = jujubehook_standin::Engine::start(address, settings)
            .await
            .unwrap();
        let client = Client::default();
        let engine = Engine::new(&client, server.address());
        let prompt = "Pet\u{e9}n copal ".repeat(300);
        let completion = Completion {
            attempt: format!("{:016x}", 1),
            max_tokens: 1,
            model: "m".into(),
            prompt: prompt.clone(),
            stream: true,
            ..Completion::default()
        };
        let connection = Connection::open(server.address()).await.unwrap();
        let mut stream = engine.complete(connection, &completion).await.unwrap();
        while stream.events.next().await.unwrap().is_some() {}
        let mut expected = prefix_hashes(&prompt);
        assert_eq!(expected.len(), prompt.len() / 1024);
        expected.sort_unstable();
        let end = Instant::now() + EVENTS_TIMEOUT;
        loop {
            let blocks = cached_blocks(&engine.events().await.unwrap());
            if blocks == expected {
                return;
            }
            assert!(Instant::now() < end, "{blocks:x?} is not {expected:x?}");
            Timer::after(Duration::from_millis(20)).await;
        }
    });
}
