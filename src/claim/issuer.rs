use crate::error::Kind;
use crate::id::{Incarnation, InstanceId, Offset};

use super::{issue, Entry, Key, Ledger, Outcome, Settings, Step};

/// Issues keys, and decides about calls with them. Only this incarnation runs such calls, so its memory is the only
/// record and no log is needed. Later incarnations answer "outcome unknown".
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Issuer {
    incarnation: Incarnation,
    ledger: Ledger,
    me: InstanceId,
    offset: Offset,
}

impl Issuer {
    /// Creates the issuer of one incarnation, without calls.
    pub fn new(me: InstanceId, incarnation: Incarnation, settings: Settings) -> Issuer {
        Issuer {
            incarnation,
            ledger: Ledger::new(me.clone(), incarnation, settings),
            me,
            offset: 0,
        }
    }

    /// Starts a call with a key made by [`scoped`](super::scoped). Never returns [`Step::Append`].
    pub fn begin(&mut self, key: &str, nonce: u64, now: u64) -> Step {
        match Key::parse_scoped(key) {
            Err(error) => return Step::Refuse { kind: error.kind() },
            Ok(Key::Caller { .. }) => {
                return Step::Refuse {
                    kind: Kind::BadRequest,
                }
            }
            Ok(Key::Issued {
                incarnation,
                instance,
                ..
            }) => {
                if incarnation != self.incarnation || instance != self.me {
                    return Step::Refuse {
                        kind: Kind::OutcomeUnknown,
                    };
                }
            }
        }
        match self.ledger.begin(key, nonce, now) {
            Step::Append { entry } => {
                self.record(Some(entry), now);
                self.ledger.poll(key, nonce, now)
            }
            step => step,
        }
    }

    /// Checks, just before the first byte is written, whether the call may run; see [`Ledger::dispatch`].
    pub fn dispatch(&mut self, key: &str, nonce: u64, now: u64) -> Step {
        self.ledger.dispatch(key, nonce, now)
    }

    /// Records the outcome of a call; `None` if it is not known.
    pub fn finish(&mut self, key: &str, nonce: u64, outcome: Option<Outcome>, now: u64) {
        let entry = self.ledger.finish(key, nonce, outcome);
        self.record(entry, now);
    }

    /// Whether another call with the key may be running or may have run; see [`Ledger::is_contested`].
    pub fn is_contested(&self, key: &str, nonce: u64) -> bool {
        self.ledger.is_contested(key, nonce)
    }

    /// Creates a key for `POST /v1/keys`.
    pub fn issue(&self, nonce: u64, now: u64) -> String {
        issue(&self.me, self.incarnation, nonce, now)
    }

    /// Returns the next step of a call that waits.
    pub fn poll(&self, key: &str, nonce: u64, now: u64) -> Step {
        self.ledger.poll(key, nonce, now)
    }

    /// Records that no byte of the call was or will be written, so that the next call with the key may run.
    pub fn mark_unsent(&mut self, key: &str, nonce: u64, now: u64) {
        let entry = self.ledger.mark_unsent(key, nonce);
        self.record(entry, now);
    }

    fn record(&mut self, entry: Option<Entry>, now: u64) {
        if let Some(entry) = entry {
            self.offset += 1;
            self.ledger.apply(self.offset, &entry, now);
        }
    }
}
