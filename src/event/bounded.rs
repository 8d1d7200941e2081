use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// Lines that wait for the writer; more are counted and left out, so that a slow reader of the log blocks nobody.
const QUEUE: usize = 1_024;

/// Most bytes of lines a second. An instance at 20 requests a second writes a fifth of it.
const BYTES_PER_S: usize = 64 << 10;

/// Longest wait for the last lines when the process ends.
const FLUSH: Duration = Duration::from_millis(100);

static LINES: OnceLock<Lines> = OnceLock::new();

struct Lines {
    dropped: AtomicU64,
    pending: AtomicU64,
    sender: SyncSender<Vec<u8>>,
}

/// Starts logging to standard output: lines are written by a thread of their own, and their volume is bounded.
///
/// # Errors
/// Fails if logging was started before.
pub fn start_bounded() -> io::Result<()> {
    let (sender, receiver) = sync_channel(QUEUE);
    let lines = Lines {
        dropped: AtomicU64::new(0),
        pending: AtomicU64::new(0),
        sender,
    };
    LINES
        .set(lines)
        .map_err(|_| io::Error::other("logging was started before"))?;
    std::thread::Builder::new()
        .name("log".into())
        .stack_size(64 << 10)
        .spawn(move || write(&receiver))?;
    super::start::subscribe(|| Line, super::Level::default())
}

/// Waits until the lines that were logged are written, for a bounded time.
pub fn flush() {
    let end = Instant::now() + FLUSH;
    while let Some(lines) = LINES.get() {
        if lines.pending.load(Ordering::Acquire) == 0 || Instant::now() >= end {
            return;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Takes one line; a whole line is written by one call.
struct Line;

impl Write for Line {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Some(lines) = LINES.get() {
            lines.pending.fetch_add(1, Ordering::AcqRel);
            match lines.sender.try_send(bytes.to_vec()) {
                Ok(()) => {}
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                    lines.pending.fetch_sub(1, Ordering::AcqRel);
                    lines.dropped.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write(receiver: &Receiver<Vec<u8>>) {
    let Some(lines) = LINES.get() else {
        return;
    };
    let (mut second, mut written) = (Instant::now(), 0);
    let mut batch = Vec::new();
    while let Ok(first) = receiver.recv() {
        let mut count = 0;
        batch.clear();
        for line in std::iter::once(first).chain(receiver.try_iter()) {
            count += 1;
            if second.elapsed() >= Duration::from_secs(1) {
                (second, written) = (Instant::now(), 0);
            }
            if written + line.len() > BYTES_PER_S {
                lines.dropped.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            written += line.len();
            batch.extend_from_slice(&line);
        }
        let dropped = lines.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            batch.extend_from_slice(
                format!("level=warn event=lines_dropped count={dropped}\n").as_bytes(),
            );
        }
        // Without a reader of the log there is nowhere to report to.
        let _ = io::stdout().write_all(&batch);
        lines.pending.fetch_sub(count, Ordering::AcqRel);
    }
}
