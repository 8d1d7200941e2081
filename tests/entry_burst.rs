//! Guards against engines that get more chats than they have slots for. The pattern of the test is named in its text.

mod entry_fixtures;

use std::time::Duration;

use entry_fixtures::{chat, engines, ms, profile};
use jujubehook::entry::{place, Choice, Engine, Heartbeat, Load, View, Work};

/// Time that a datagram between two instances takes.
const WAY: Duration = Duration::from_millis(2);

/// Milliseconds between two beats of one of thirteen instances.
const BEAT: u64 = 66;

const INSTANCES: usize = 13;

/// Milliseconds between two chats, over all instances: 110 a second.
const BETWEEN: u64 = 9;

/// Pattern: a burst of chats. Each instance knows the others' choices only from their last beats, and none of them gives
/// an engine more than its slots.
#[test]
fn burst_fits_slots() {
    let engines = engines(23);
    let mut views = vec![View::default(); INSTANCES];
    let mut heartbeats: Vec<(Duration, usize, Heartbeat)> = Vec::new();
    let mut running = vec![0; engines.len()];
    let mut most = 0;
    for now in 0..1_500 {
        let at = ms(now);
        for (_, from, heartbeat) in heartbeats.iter().filter(|(due, ..)| *due == at) {
            let others = views.iter_mut().enumerate();
            for (_, view) in others.filter(|(number, _)| number != from) {
                view.receive(heartbeat, at);
            }
        }
        for (number, view) in views.iter_mut().enumerate() {
            if (now + number as u64 * 5).is_multiple_of(BEAT) {
                let heartbeat = Heartbeat {
                    incarnation: 1,
                    instance: format!("instance-{number}"),
                    prefills: view.prefills(at),
                    rows: view.rows(),
                    sequence: now + 1,
                    ..Heartbeat::default()
                };
                heartbeats.push((at + WAY, number, heartbeat));
            }
        }
        if now.is_multiple_of(BETWEEN) {
            let chosen = choose(
                &mut views[(now / BETWEEN * 7) as usize % INSTANCES],
                &engines,
                at,
            );
            if let Some(chosen) = chosen {
                running[chosen] += 1;
                most = most.max(running[chosen]);
            }
        }
    }
    let total: u32 = running.iter().sum();
    assert!(total > 150, "{total} chats were sent");
    assert!(most <= 16, "an engine got {most} chats: {running:?}");
}

fn choose(view: &mut View, engines: &[Engine], now: Duration) -> Option<usize> {
    let loads = view.loads(now);
    let mut engines = engines.to_vec();
    for engine in &mut engines {
        let found = loads.iter().find(|(key, _)| *key == engine.key);
        engine.load = found.map_or(Load::default(), |(_, load)| *load);
    }
    let demand = chat();
    let Choice::Place(placement) =
        place(&demand, &profile(), &engines, now.as_millis() as u64 * 31)
    else {
        return None;
    };
    let number = view.start(Work {
        background: false,
        primary: placement.primary.key(),
        gap: demand.gap,
        helpers: Vec::new(),
        short: true,
        part_time: placement.part_time,
        rank: 0,
        start: now,
        tokens: placement.primary_tokens,
    });
    view.finish_prefill(number);
    engines
        .iter()
        .position(|engine| engine.key == placement.primary.key())
}
