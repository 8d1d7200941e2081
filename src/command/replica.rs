use std::time::Duration;

use super::Error;
use crate::id::Offset;
use crate::record::{Fold, Verdict};
use crate::remote::{self, Log};

/// Log stream of the records.
const STREAM: &str = "config";

/// Log stream of the snapshots of the fold.
const SNAPSHOT_STREAM: &str = "config-snapshot";

/// Maximum number of entries in one read.
const PAGE_ENTRIES: usize = 256;

/// Maximum number of snapshots in one read; each may be as large as all records together.
const SNAPSHOT_PAGE_ENTRIES: usize = 4;

/// A local copy of the records in force, built from the log.
#[derive(Debug)]
pub(super) struct Replica {
    pub(super) fold: Fold,
    log: Log,
}

impl Replica {
    /// Reads the log to its end.
    pub(super) async fn read(log: Log) -> Result<Self, Error> {
        let mut replica = Self {
            fold: Fold::default(),
            log,
        };
        replica.catch_up(|_, _, _| ()).await?;
        Ok(replica)
    }

    /// Appends an entry to the log, without applying it.
    pub(super) async fn append(&self, entry: &str) -> Result<Offset, remote::Error> {
        self.log.append(STREAM, entry).await
    }

    /// Applies all entries that were appended since the last read, and passes each with its verdict to `observe`.
    pub(super) async fn catch_up(
        &mut self,
        mut observe: impl FnMut(Offset, &str, Verdict),
    ) -> Result<(), Error> {
        loop {
            let next = self.fold.offset() + 1;
            let page = self
                .log
                .read(STREAM, next, PAGE_ENTRIES, Duration::ZERO)
                .await;
            let page = page.map_err(read_failed)?;
            if page.first > next {
                self.restore(page.first).await?;
                continue;
            }
            if page.entries.is_empty() {
                return Ok(());
            }
            for entry in page.entries {
                let verdict = self.fold.apply(entry.offset, &entry.body);
                let verdict = verdict.map_err(|error| {
                    Error::Failed(format!(
                        "offset {} of stream `{STREAM}`: {error}",
                        entry.offset
                    ))
                })?;
                observe(entry.offset, &entry.body, verdict);
            }
        }
    }

    /// Restores the last snapshot, since the log no longer has the entries before `first`.
    async fn restore(&mut self, first: Offset) -> Result<(), Error> {
        let mut last = None;
        let mut next = 1;
        loop {
            let page = self
                .log
                .read(SNAPSHOT_STREAM, next, SNAPSHOT_PAGE_ENTRIES, Duration::ZERO);
            let page = page.await.map_err(read_failed)?;
            let Some(entry) = page.entries.into_iter().next_back() else {
                break;
            };
            next = entry.offset + 1;
            last = Some(entry.body);
        }
        let Some(last) = last else {
            return Err(Error::Failed(format!(
                "stream `{STREAM}` starts at offset {first} and stream `{SNAPSHOT_STREAM}` is empty"
            )));
        };
        let fold = Fold::from_snapshot(last.as_bytes())
            .map_err(|error| Error::Failed(format!("stream `{SNAPSHOT_STREAM}`: {error}")))?;
        let offset = fold.offset();
        if offset <= self.fold.offset() || offset + 1 < first {
            return Err(Error::Failed(format!(
                "stream `{STREAM}` starts at offset {first} and the last snapshot is at {offset}"
            )));
        }
        self.fold = fold;
        Ok(())
    }
}

fn read_failed(error: remote::Error) -> Error {
    Error::Failed(format!("cannot read the log: {error}"))
}
