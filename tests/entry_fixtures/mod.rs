//! Fixtures for tests of the entry core: engines with the published performance figures, targets and requests.

#![allow(dead_code)]

use std::rc::Rc;
use std::time::Duration;

use jujubehook::entry::{key, Engine, Load, Profile, Requirements, Target};

/// Profile of an engine that prefills 154 tokens per millisecond.
pub(crate) fn profile() -> Profile {
    Profile {
        context_per_k: Duration::from_nanos(2_130),
        memory_tokens: 405_000,
        pairs_per_m: Duration::from_micros(162),
        read_per_s: 154_000.0,
        slots: 16,
        step: Duration::from_micros(1_310),
        stride: 34,
    }
}

pub(crate) const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A ready target of the service `llm`.
pub(crate) fn target(id: &str, domain: &str) -> Target {
    Target {
        address: ([127, 0, 0, 1], 8_000).into(),
        cold_until: Duration::ZERO,
        domain: domain.into(),
        draining: false,
        id: id.into(),
        service: "llm".into(),
        slots: 16,
        started_unix_ms: None,
    }
}

/// Idle engines, ordered by key as in a placement.
pub(crate) fn engines(count: usize) -> Vec<Engine> {
    let mut engines: Vec<Engine> = (0..count)
        .map(|number| {
            let target = target(&format!("engine-{number}"), "north");
            Engine {
                admits: true,
                key: target.key(),
                load: Load::default(),
                local: true,
                slowdown: 1.0,
                target: Rc::new(target),
            }
        })
        .collect();
    engines.sort_by_key(|engine| engine.key);
    engines
}

/// Adds `count` chats to an engine's load.
pub(crate) fn add_chats(engine: &mut Engine, count: u32) {
    engine.load.running += count;
    engine.load.short += count;
    engine.load.tokens += 6_000 * count;
    engine.load.gap = Some(ms(250));
}

/// A chat of 5,000 tokens.
pub(crate) fn chat() -> Requirements {
    Requirements {
        deadline: ms(2_000),
        gap: ms(250),
        objective: ms(300),
        permits: false,
        prompt: 5_000,
        tokens: 6_200,
        unseen: 0.0,
    }
}

/// A long prompt, which several engines prefill together.
pub(crate) fn long(prompt: u32) -> Requirements {
    Requirements {
        deadline: ms(12_000),
        gap: ms(1_000),
        objective: ms(3_000),
        permits: false,
        prompt,
        tokens: prompt + 600,
        unseen: 0.0,
    }
}

/// A contract of 45,000 tokens.
pub(crate) fn contract() -> Requirements {
    Requirements {
        deadline: ms(6_000),
        gap: ms(600),
        objective: ms(1_500),
        permits: false,
        prompt: 45_000,
        tokens: 45_800,
        unseen: 0.0,
    }
}

/// The key of the target with this id.
pub(crate) fn target_key(id: &str) -> u32 {
    key(id)
}
