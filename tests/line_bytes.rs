//! Guards against event lines that make the parser panic or lose characters.

use jujubehook::event::Line;

const HEAD: &str = "ts=2026-01-31T12:00:01Z time=1 instance=i domain=d event=e";

/// Odd factor that spreads the seeds over all bits; small seeds give empty inputs.
const SEED_FACTOR: u128 = 0x0001_9e37_79b9_7f4a_7c15_f39c_c060_5ced;

/// Number of seeds; a fixed set makes the test deterministic.
const SEEDS: u128 = 5_000;

fn parse(bytes: &[u8]) {
    let text = String::from_utf8_lossy(bytes);
    let _ = Line::parse(&text);
    let _ = Line::parse(&format!("{HEAD} k=\"{text}"));
    let line = Line::parse(&format!("{HEAD} k=\"{}\"", text.escape_debug())).unwrap();
    assert_eq!(line.field("k"), Some(text.as_ref()));
}

#[test]
fn any_bytes() {
    for seed in 1..=SEEDS {
        std::env::set_var("BOLERO_RANDOM_SEED", (seed * SEED_FACTOR).to_string());
        bolero::check!().with_iterations(0).for_each(parse);
    }
}
