use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// Maximum number of lines that wait for the writer. Further lines are dropped and counted, so that a slow log reader
/// blocks no thread.
const QUEUE_LINES: usize = 1_024;

/// Maximum bytes per second. An instance that serves 20 requests per second writes a fifth of this.
const BYTES_PER_S: usize = 64 << 10;

/// Maximum time that [`flush`] waits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

static LINES: OnceLock<Lines> = OnceLock::new();

struct Lines {
    dropped: AtomicU64,
    pending: AtomicU64,
    sender: SyncSender<Vec<u8>>,
}

/// Starts logging to standard output. A separate thread writes the lines, at a bounded rate.
///
/// # Errors
/// Fails if logging has already been started.
pub fn start_bounded() -> io::Result<()> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let lines = Lines {
        dropped: AtomicU64::new(0),
        pending: AtomicU64::new(0),
        sender,
    };
    LINES
        .set(lines)
        .map_err(|_| io::Error::other("logging has already been started"))?;
    std::thread::Builder::new()
        .name("log".into())
        .stack_size(64 << 10)
        .spawn(move || write(&receiver))?;
    super::start::subscribe(|| Line, super::Level::default())
}

/// Waits until all logged lines are written, but at most 100 ms. Call it before the process ends, or the last lines may
/// be lost.
pub fn flush() {
    let end = Instant::now() + FLUSH_TIMEOUT;
    while let Some(lines) = LINES.get() {
        if lines.pending.load(Ordering::Acquire) == 0 || Instant::now() >= end {
            return;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Queues lines for the writer thread; each call of `write` passes one whole line.
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

/// Writes queued lines to standard output until logging ends.
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
        // If standard output is closed, there is nowhere to report the failure.
        let _ = io::stdout().write_all(&batch);
        lines.pending.fetch_sub(count, Ordering::AcqRel);
    }
}
