use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use smol::Timer;

use super::{wait, Book};
use crate::claim::{self, Entry, Ledger, Note, Outcome, Settings, Step};
use crate::daemon::state::{lock, State};
use crate::event;
use crate::id::{Incarnation, InstanceId};
use crate::metric::Channel;
use crate::remote::{Error, Log, Settings as LogSettings};

/// Time over which entries are collected for one append, so that a busy stream costs the log at most 20 appends/s from
/// each domain.
const COMMIT_INTERVAL: Duration = Duration::from_millis(50);

/// Pause after a failed append or read.
const PAUSE: Duration = Duration::from_millis(250);

/// Time for which a read waits for new entries.
const POLL: Duration = Duration::from_secs(10);

/// Entries read at a time.
const PAGE: usize = 256;

/// Most entries of one append; with outcomes of up to 64 KiB the append stays below the log's limit.
const BATCH: usize = 32;

/// Outcomes that wait for a log that is down; beyond it repeats get "outcome unknown".
const BACKLOG: usize = 4096;

/// Claims of one log stream.
pub(crate) struct Partition {
    changed: (Sender<()>, Receiver<()>),
    ledger: Mutex<Ledger>,
    pending: (Sender<Entry>, Receiver<Entry>),
    started: AtomicBool,
    stream: String,
}

impl Partition {
    pub(super) fn new(
        index: u64,
        me: &InstanceId,
        incarnation: Incarnation,
        settings: Settings,
    ) -> Self {
        Self {
            changed: async_channel::bounded(1),
            ledger: Mutex::new(Ledger::new(me.clone(), incarnation, settings)),
            pending: async_channel::bounded(BACKLOG),
            started: AtomicBool::new(false),
            stream: format!("claims-{index}"),
        }
    }

    /// Starts to read and write the stream, once.
    pub(super) fn start(self: &Arc<Self>, state: &Arc<State>) {
        if self.started.swap(true, Ordering::AcqRel) {
            return;
        }
        let log = Arc::new(
            Log::new(state.settings.network.log, LogSettings::default())
                .metered(state.metrics.traffic(Channel::Log).clone()),
        );
        // Weak references let the tasks end with the daemon.
        let weak = Arc::downgrade(state);
        smol::spawn(self.clone().read(weak.clone(), log.clone())).detach();
        smol::spawn(self.clone().commit(weak, log)).detach();
    }

    async fn read(self: Arc<Self>, state: Weak<State>, log: Arc<Log>) {
        loop {
            let from = lock(&self.ledger).offset() + 1;
            let page = log.read(&self.stream, from, PAGE, POLL).await;
            let Some(state) = state.upgrade() else {
                return;
            };
            let Ok(page) = page else {
                drop(state);
                Timer::after(PAUSE).await;
                continue;
            };
            let now = state.clock.unix_ms();
            let mut ledger = lock(&self.ledger);
            ledger.truncate(page.first, now);
            for entry in &page.entries {
                if let Err(error) = ledger.read(entry.offset, &entry.body, now) {
                    event!(
                        warn,
                        state.source,
                        "claim_unreadable",
                        stream = self.stream.as_str(),
                        offset = entry.offset,
                        reason = %error
                    );
                }
            }
            drop(ledger);
            let _ = self.changed.0.try_send(());
        }
    }

    async fn commit(self: Arc<Self>, state: Weak<State>, log: Arc<Log>) {
        while let Ok(first) = self.pending.1.recv().await {
            Timer::after(COMMIT_INTERVAL).await;
            let mut batch = vec![first];
            while batch.len() < BATCH {
                match self.pending.1.try_recv() {
                    Ok(entry) => batch.push(entry),
                    Err(_) => break,
                }
            }
            self.append(&log, batch).await;
            if state.strong_count() == 0 {
                return;
            }
        }
    }

    async fn append(&self, log: &Log, batch: Vec<Entry>) {
        match log.append(&self.stream, &claim::encode(&batch)).await {
            Ok(_) => {}
            Err(Error::Refused(_)) => {
                self.fail(batch, true);
                Timer::after(PAUSE).await;
            }
            // What was appended is found when the stream is read; a second copy of an entry has no effect.
            Err(Error::Unknown(_)) => {
                self.fail(batch, false);
                Timer::after(PAUSE).await;
            }
        }
    }

    /// Gives claims up that are certainly not in the log, and keeps everything else for another append.
    fn fail(&self, batch: Vec<Entry>, certain: bool) {
        for entry in batch {
            if certain && entry.note == Note::Claim {
                lock(&self.ledger).append_failed(&entry.key, entry.nonce);
                continue;
            }
            let _ = self.pending.0.try_send(entry);
        }
        let _ = self.changed.0.try_send(());
    }

    fn submit(&self, entry: Option<Entry>) {
        if let Some(entry) = entry {
            // A full backlog loses an outcome, which then is unknown to repeats.
            let _ = self.pending.0.try_send(entry);
        }
    }
}

/// The claims of a partition as one call sees them.
pub(super) struct Handle {
    partition: Arc<Partition>,
}

impl Handle {
    pub(super) fn new(partition: Arc<Partition>) -> Self {
        Self { partition }
    }
}

impl Book for Handle {
    fn begin(&self, key: &str, nonce: u64, now: u64) -> Step {
        let step = lock(&self.partition.ledger).begin(key, nonce, now);
        if let Step::Append { entry } = &step {
            self.partition.submit(Some(entry.clone()));
        }
        step
    }

    fn changed(&self, limit: Duration) -> Pin<Box<dyn Future<Output = ()> + Send + '_>> {
        Box::pin(wait(&self.partition.changed.1, limit))
    }

    fn dispatch(&self, key: &str, nonce: u64, now: u64) -> Step {
        lock(&self.partition.ledger).dispatch(key, nonce, now)
    }

    fn finish(&self, key: &str, nonce: u64, outcome: Option<Outcome>, _now: u64) {
        let entry = lock(&self.partition.ledger).finish(key, nonce, outcome);
        self.partition.submit(entry);
    }

    fn is_contested(&self, key: &str, nonce: u64) -> bool {
        lock(&self.partition.ledger).is_contested(key, nonce)
    }

    fn poll(&self, key: &str, nonce: u64, now: u64) -> Step {
        lock(&self.partition.ledger).poll(key, nonce, now)
    }

    fn unsent(&self, key: &str, nonce: u64, _now: u64) {
        let entry = lock(&self.partition.ledger).mark_unsent(key, nonce);
        self.partition.submit(entry);
    }
}
