use std::time::Duration;

use crate::error::Kind;
use crate::id::Tokens;

use super::stage::{Reservation, Stage};
use super::{Action, Event, Part, Settings};

/// Runs one gang at the entry instance: holds the memory of all parts or none, prefills segment by segment, decodes,
/// and releases the holds.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Coordinator {
    deadline: Duration,
    holds: Vec<Reservation>,
    parts: Vec<Part>,
    prompt: Tokens,
    /// Whether an engine may have received tokens of the prompt.
    reached_engine: bool,
    settings: Settings,
    stage: Stage,
}

impl Coordinator {
    /// Creates a coordinator for the parts that [`plan`](super::plan) chose.
    pub fn new(parts: Vec<Part>, prompt: Tokens, deadline: Duration) -> Coordinator {
        Coordinator::with_settings(parts, prompt, deadline, Settings::default())
    }

    /// Creates a coordinator with the given settings. The parts are sorted by target id, so that competing gangs
    /// request the same target first.
    pub fn with_settings(
        mut parts: Vec<Part>,
        prompt: Tokens,
        deadline: Duration,
        settings: Settings,
    ) -> Coordinator {
        if settings.guards.order {
            parts.sort_by(|a, b| a.target.cmp(&b.target));
        }
        let holds = vec![Reservation::None; parts.len()];
        Coordinator {
            deadline,
            holds,
            parts,
            prompt,
            reached_engine: false,
            settings,
            stage: Stage::Idle,
        }
    }

    /// Handles an event. Events that do not match the current stage are late and have no effect.
    pub fn handle(&mut self, event: Event, now: Duration) -> Vec<Action> {
        if self.is_ended() {
            return Vec::new();
        }
        match event {
            Event::CallerLeft => self.fail(Kind::Cancelled),
            Event::Failed { .. } => self.fail(self.failure_kind()),
            Event::Finished if self.stage == Stage::Decoding => self.end(),
            Event::Finished => Vec::new(),
            Event::Held { part } => self.held(part, now),
            Event::Prefilled { part, tokens } => self.prefilled(part, tokens),
            Event::Refused { part } => self.refused(part),
            Event::Renewed { part } => self.renewed(part),
        }
    }

    /// Whether the gang has ended and all its holds are released.
    pub fn is_ended(&self) -> bool {
        self.stage == Stage::Ended
    }

    /// Whether all parts are held and engines are prefilling or decoding.
    pub fn is_running(&self) -> bool {
        matches!(self.stage, Stage::Decoding | Stage::Prefilling { .. })
    }

    /// The parts in the order of their segments.
    pub fn parts(&self) -> &[Part] {
        &self.parts
    }

    /// Requests the first hold.
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
        self.request_hold(0, now)
    }

    /// Enforces the deadline and the expiry of the holds, and renews them. To be called at least every 100 ms.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        if matches!(self.stage, Stage::Ended | Stage::Idle) {
            return Vec::new();
        }
        if now >= self.deadline && self.settings.guards.deadline {
            let kind = if self.reached_engine {
                Kind::DeadlineExceeded
            } else {
                Kind::DeadlineRefused
            };
            return self.fail(kind);
        }
        if self.has_expired_hold(now) && self.settings.guards.lapse {
            return self.fail(self.failure_kind());
        }
        self.renew(now)
    }

    fn request_hold(&mut self, part: usize, now: Duration) -> Vec<Action> {
        self.stage = Stage::Holding { part };
        self.holds[part] = Reservation::Requested { at: now };
        vec![Action::Hold { part }]
    }

    /// Error kind for a failed part.
    fn failure_kind(&self) -> Kind {
        if self.reached_engine {
            Kind::UpstreamFailed
        } else {
            Kind::Unavailable
        }
    }

    /// Ends the gang and releases all parts that are or may be held.
    fn end(&mut self) -> Vec<Action> {
        self.stage = Stage::Ended;
        let mut actions = Vec::new();
        for (part, hold) in self.holds.iter_mut().enumerate() {
            if *hold != Reservation::None && self.settings.guards.release {
                actions.push(Action::Release { part });
            }
            *hold = Reservation::None;
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
        if let Reservation::Requested { at } = self.holds[part] {
            self.holds[part] = Reservation::Held {
                confirmed: at,
                sent: None,
            };
        }
        if part + 1 < self.parts.len() {
            return self.request_hold(part + 1, now);
        }
        self.prefill(0, 0)
    }

    /// Whether a hold may have expired at its owner. The time of a hold counts from when its request was sent.
    fn has_expired_hold(&self, now: Duration) -> bool {
        self.holds.iter().any(|hold| match hold {
            Reservation::Requested { at } => now >= *at + self.settings.hold,
            Reservation::Held { confirmed, .. } => now >= *confirmed + self.settings.hold,
            Reservation::None => false,
        })
    }

    fn prefill(&mut self, part: usize, from: Tokens) -> Vec<Action> {
        let to = self.segment_end(part).min(from + self.settings.chunk);
        self.stage = Stage::Prefilling { from, part, to };
        self.reached_engine = true;
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
        self.holds[part] = Reservation::None;
        self.fail(Kind::Overloaded)
    }

    fn renew(&mut self, now: Duration) -> Vec<Action> {
        let interval = self.settings.renew;
        let mut actions = Vec::new();
        for (part, hold) in self.holds.iter_mut().enumerate() {
            let Reservation::Held {
                confirmed,
                sent: sent @ None,
            } = hold
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
        if let Some(Reservation::Held { confirmed, sent }) = self.holds.get_mut(part) {
            *confirmed = sent.take().unwrap_or(*confirmed);
        }
        Vec::new()
    }

    /// End of a part's segment of the prompt. The last part takes the rest, even if the parts hold less than the
    /// prompt.
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
