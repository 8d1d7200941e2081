use std::time::Duration;

use crate::error::Kind;
use crate::id::Tokens;

use super::stage::{Lease, Stage};
use super::{Action, Event, Part, Settings};

/// Runs one gang from the entry instance: holds all or nothing, prefills segment by segment, decodes, releases.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Coordinator {
    deadline: Duration,
    leases: Vec<Lease>,
    parts: Vec<Part>,
    prompt: Tokens,
    settings: Settings,
    stage: Stage,
    /// Whether an engine may have got a part of the prompt.
    written: bool,
}

impl Coordinator {
    /// Makes a coordinator for the parts of [`plan`](super::plan).
    pub fn new(parts: Vec<Part>, prompt: Tokens, deadline: Duration) -> Coordinator {
        Coordinator::with_settings(parts, prompt, deadline, Settings::default())
    }

    /// Makes a coordinator with other settings than the default. The parts are sorted by target id, so that two gangs
    /// that compete ask for the same target first.
    pub fn with_settings(
        mut parts: Vec<Part>,
        prompt: Tokens,
        deadline: Duration,
        settings: Settings,
    ) -> Coordinator {
        if settings.guards.order {
            parts.sort_by(|a, b| a.target.cmp(&b.target));
        }
        let leases = vec![Lease::None; parts.len()];
        Coordinator {
            deadline,
            leases,
            parts,
            prompt,
            settings,
            stage: Stage::Idle,
            written: false,
        }
    }

    /// Handles an event. Events that do not fit the stage are late and have no effect.
    pub fn handle(&mut self, event: Event, now: Duration) -> Vec<Action> {
        if self.is_ended() {
            return Vec::new();
        }
        match event {
            Event::Failed { .. } => self.fail(self.broken()),
            Event::Finished if self.stage == Stage::Decoding => self.end(),
            Event::Finished => Vec::new(),
            Event::Held { part } => self.held(part, now),
            Event::CallerLeft => self.fail(Kind::Cancelled),
            Event::Prefilled { part, tokens } => self.prefilled(part, tokens),
            Event::Refused { part } => self.refused(part),
            Event::Renewed { part } => self.renewed(part),
        }
    }

    /// Whether the gang is over and everything is released.
    pub fn is_ended(&self) -> bool {
        self.stage == Stage::Ended
    }

    /// Whether all parts are held and engines work on the prompt.
    pub fn is_running(&self) -> bool {
        matches!(self.stage, Stage::Decoding | Stage::Prefilling { .. })
    }

    /// The parts in the order of their segments.
    pub fn parts(&self) -> &[Part] {
        &self.parts
    }

    /// Asks for the first hold.
    pub fn start(&mut self, now: Duration) -> Vec<Action> {
        if self.stage != Stage::Idle {
            return Vec::new();
        }
        if self.parts.is_empty() {
            return self.fail(Kind::Unavailable);
        }
        if now >= self.deadline {
            return self.fail(Kind::DeadlineRefused);
        }
        self.ask(0, now)
    }

    /// Enforces the deadline and the validity of the holds, and renews them. To be called at least every 100 ms.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        if matches!(self.stage, Stage::Ended | Stage::Idle) {
            return Vec::new();
        }
        if now >= self.deadline && self.settings.guards.deadline {
            let kind = if self.written {
                Kind::DeadlineExceeded
            } else {
                Kind::DeadlineRefused
            };
            return self.fail(kind);
        }
        if self.lapsed(now) && self.settings.guards.lapse {
            return self.fail(self.broken());
        }
        self.renew(now)
    }

    fn ask(&mut self, part: usize, now: Duration) -> Vec<Action> {
        self.stage = Stage::Holding { part };
        self.leases[part] = Lease::Asked { at: now };
        vec![Action::Hold { part }]
    }

    /// The kind of a failure of a part.
    fn broken(&self) -> Kind {
        if self.written {
            Kind::UpstreamFailed
        } else {
            Kind::Unavailable
        }
    }

    /// Releases everything that is or may be held.
    fn end(&mut self) -> Vec<Action> {
        self.stage = Stage::Ended;
        let mut actions = Vec::new();
        for (part, lease) in self.leases.iter_mut().enumerate() {
            if *lease != Lease::None && self.settings.guards.release {
                actions.push(Action::Release { part });
            }
            *lease = Lease::None;
        }
        actions
    }

    fn fail(&mut self, kind: Kind) -> Vec<Action> {
        let mut actions = self.end();
        actions.push(Action::Fail { kind });
        actions
    }

    fn held(&mut self, part: usize, now: Duration) -> Vec<Action> {
        if self.stage != (Stage::Holding { part }) {
            return Vec::new();
        }
        if let Lease::Asked { at } = self.leases[part] {
            self.leases[part] = Lease::Held {
                confirmed: at,
                sent: None,
            };
        }
        if part + 1 < self.parts.len() {
            return self.ask(part + 1, now);
        }
        self.prefill(0, 0)
    }

    /// Whether a hold may have expired at its owner. A hold request that is not answered counts from when it was sent.
    fn lapsed(&self, now: Duration) -> bool {
        self.leases.iter().any(|lease| match lease {
            Lease::Asked { at } => now >= *at + self.settings.hold,
            Lease::Held { confirmed, .. } => now >= *confirmed + self.settings.hold,
            Lease::None => false,
        })
    }

    fn prefill(&mut self, part: usize, from: Tokens) -> Vec<Action> {
        let to = self.segment_end(part).min(from + self.settings.chunk);
        self.stage = Stage::Prefilling { from, part, to };
        self.written = true;
        vec![Action::Prefill { part, from, to }]
    }

    fn prefilled(&mut self, at: usize, tokens: Tokens) -> Vec<Action> {
        let Stage::Prefilling { from, part, to } = self.stage else {
            return Vec::new();
        };
        if at != part {
            return Vec::new();
        }
        if tokens != to - from {
            return self.fail(Kind::UpstreamFailed);
        }
        if to < self.segment_end(part) {
            return self.prefill(part, to);
        }
        if part + 1 < self.parts.len() {
            return self.prefill(part + 1, to);
        }
        self.stage = Stage::Decoding;
        vec![Action::Decode]
    }

    fn refused(&mut self, part: usize) -> Vec<Action> {
        if self.stage != (Stage::Holding { part }) {
            return Vec::new();
        }
        self.leases[part] = Lease::None;
        self.fail(Kind::Overloaded)
    }

    fn renew(&mut self, now: Duration) -> Vec<Action> {
        let interval = self.settings.renew;
        let mut actions = Vec::new();
        for (part, lease) in self.leases.iter_mut().enumerate() {
            let Lease::Held {
                confirmed,
                sent: sent @ None,
            } = lease
            else {
                continue;
            };
            if now >= *confirmed + interval {
                *sent = Some(now);
                actions.push(Action::Renew { part });
            }
        }
        actions
    }

    fn renewed(&mut self, part: usize) -> Vec<Action> {
        if let Some(Lease::Held { confirmed, sent }) = self.leases.get_mut(part) {
            *confirmed = sent.take().unwrap_or(*confirmed);
        }
        Vec::new()
    }

    /// End of a part's segment of the prompt. The last part takes the rest, also if `parts` hold less than the prompt.
    fn segment_end(&self, part: usize) -> Tokens {
        if part + 1 == self.parts.len() {
            return self.prompt;
        }
        let held = self.parts[..=part]
            .iter()
            .map(|part| part.tokens)
            .sum::<Tokens>();
        held.min(self.prompt)
    }
}
