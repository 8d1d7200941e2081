use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use smol::Timer;

use super::{wait, Store};
use crate::claim::{self, Entry, Ledger, Note, Outcome, Settings, Step};
use crate::daemon::state::{lock, State};
use crate::event;
use crate::id::{Incarnation, InstanceId};
use crate::metric::Channel;
use crate::remote::{Error, Log, Settings as LogSettings};

/// Time over which entries are collected for one append. It limits each domain to 20 appends per second and stream.
const COMMIT_INTERVAL: Duration = Duration::from_millis(50);

/// Pause after a failed append or read.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Time for which the log holds a read open until there are new entries.
const POLL_TIMEOUT: Duration = Duration::from_secs(10);

/// Most entries of one read.
const PAGE_ENTRIES: usize = 256;

/// Most entries of one append. With outcomes of up to 64 KiB each the append stays below the log's limit.
const BATCH_ENTRIES: usize = 32;

/// Most entries that wait for an append, for example while the log is down. Outcomes beyond that are lost, and retries
/// with their keys get "outcome unknown".
const PENDING_ENTRIES: usize = 4096;

/// Claims whose entries are in one log stream.
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
        instance: &InstanceId,
        incarnation: Incarnation,
        settings: Settings,
    ) -> Self {
        Self {
            changed: async_channel::bounded(1),
            ledger: Mutex::new(Ledger::new(instance.clone(), incarnation, settings)),
            pending: async_channel::bounded(PENDING_ENTRIES),
            started: AtomicBool::new(false),
            stream: format!("claims-{index}"),
        }
    }

    /// Starts the tasks that read and write the stream, unless they run already.
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
            let page = log
                .read(&self.stream, from, PAGE_ENTRIES, POLL_TIMEOUT)
                .await;
            let Some(state) = state.upgrade() else {
                return;
            };
            let Ok(page) = page else {
                drop(state);
                Timer::after(RETRY_PAUSE).await;
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
            while batch.len() < BATCH_ENTRIES {
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
                self.append_failed(batch, true);
                Timer::after(RETRY_PAUSE).await;
            }
            // If the append took effect, reading the stream shows it; a second copy of an entry has no effect.
            Err(Error::Unknown(_)) => {
                self.append_failed(batch, false);
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }

    /// Gives up claims that are certainly not in the log, and queues all other entries for another append.
    fn append_failed(&self, batch: Vec<Entry>, certain: bool) {
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
            // If the queue is full, the entry is lost. Retries with the key of a lost outcome get "outcome unknown".
            let _ = self.pending.0.try_send(entry);
        }
    }
}

/// A partition's claims as a [`Store`].
pub(super) struct View {
    partition: Arc<Partition>,
}

impl View {
    pub(super) fn new(partition: Arc<Partition>) -> Self {
        Self { partition }
    }
}

impl Store for View {
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
