//! Guards against engines that get more chats than they have slots for. The pattern of the test is named in its text.

mod entry_fixtures;

use std::time::Duration;

use entry_fixtures::{chat, engines, figures, ms};
use jujubehook::entry::{place, Beat, Choice, Engine, Load, View, Work};

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
    let mut beats: Vec<(Duration, usize, Beat)> = Vec::new();
    let mut running = vec![0; engines.len()];
    let mut most = 0;
    for now in 0..1_500 {
        let at = ms(now);
        for (_, from, beat) in beats.iter().filter(|(due, ..)| *due == at) {
            let others = views.iter_mut().enumerate();
            for (_, view) in others.filter(|(number, _)| number != from) {
                view.hear(beat, at);
            }
        }
        for (number, view) in views.iter_mut().enumerate() {
            if (now + number as u64 * 5).is_multiple_of(BEAT) {
                let beat = Beat {
                    incarnation: 1,
                    instance: format!("instance-{number}"),
                    readings: view.readings(at),
                    rows: view.rows(),
                    sequence: now + 1,
                    ..Beat::default()
                };
                beats.push((at + WAY, number, beat));
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
    let ask = chat();
    let Choice::Place(placement) = place(&ask, &figures(), &engines, now.as_millis() as u64 * 31)
    else {
        return None;
    };
    let number = view.start(Work {
        background: false,
        first: placement.first.key(),
        gap: ask.gap,
        helpers: Vec::new(),
        light: true,
        part: placement.part,
        rank: 0,
        start: now,
        tokens: placement.rest,
    });
    view.read(number);
    engines
        .iter()
        .position(|engine| engine.key == placement.first.key())
}
