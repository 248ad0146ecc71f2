//! Logger of the command `serve`: writes lines to standard output, with a rate limit for each component and without
//! blocking the caller.

use crate::run_error::RunError;
use base::{Clock, HashMap, lock};
use fern::{Dispatch, Output};
use log::{LevelFilter, Record};
use std::{
    io::Write,
    sync::{
        Mutex, OnceLock,
        atomic::{AtomicUsize, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    time::Duration,
};

/// Capacity of the queue to the writer thread. A line that finds the queue full is dropped and counted.
const QUEUE_CAPACITY_LINES: usize = 1_024;

/// Largest size of a line, which bounds the queue at 2 MiB. Callers choose parts of some lines, such as the identifiers of their
/// requests, which may be as large as a head.
const MAX_LINE_BYTES: usize = 2 * 1024;

/// Maximum number of lines per second and component. Writing a line costs processor time, which must stay available for
/// requests during a burst of failures.
const MAX_COMPONENT_LINES_PER_S: u32 = 60;

/// End of a line that was cut.
const CUT_MARK: &str = " (cut)";

/// Number of lines that are queued but not yet written.
static PENDING_LINES: AtomicUsize = AtomicUsize::new(0);

/// Queue to the writer thread.
static QUEUE: OnceLock<SyncSender<String>> = OnceLock::new();

/// Lines of one component in the current second, for the rate limit.
#[derive(Default)]
struct ComponentLimit {
    /// Second that the counts belong to, counted from the installation of the logger.
    second: u64,
    /// Lines in this second, including dropped ones.
    lines: u32,
    /// Lines in this second that were dropped, because of the rate limit or a full queue.
    left_out: u32,
}

/// Installs the logger. Each line starts with the time in milliseconds since the Unix epoch, the level and the name of
/// the VM.
///
/// # Errors
///
/// A logger is already installed, or the writer thread cannot be started.
pub fn install(vm_name: &str) -> Result<(), RunError> {
    let (sender, receiver) = sync_channel(QUEUE_CAPACITY_LINES);
    std::thread::Builder::new().name("log".to_owned()).spawn(move || write(&receiver))?;
    let _ = QUEUE.set(sender);
    let vm_name = vm_name.to_owned();
    let clock = Clock::start();
    let limits = Mutex::new(HashMap::<String, ComponentLimit>::default());
    let output = Output::call(move |record| queue(record, &vm_name, clock, &limits));
    Dispatch::new().level(LevelFilter::Info).chain(output).apply()?;
    Ok(())
}

/// Waits until all queued lines are written, but at most for `timeout`. Call it before the process exits, because the
/// exit ends the writer thread.
pub fn close(timeout: Duration) {
    let poll_interval = Duration::from_millis(5);
    let mut waited = Duration::ZERO;
    while PENDING_LINES.load(Ordering::Acquire) > 0 && waited < timeout {
        std::thread::sleep(poll_interval);
        waited += poll_interval;
    }
}

/// Queues the line of a record unless its component has reached the rate limit. The first line of a component in a
/// later second also reports how many lines were dropped.
fn queue(
    record: &Record<'_>,
    vm_name: &str,
    clock: Clock,
    limits: &Mutex<HashMap<String, ComponentLimit>>,
) {
    let message = record.args().to_string();
    let component = message.split_once(": ").map_or("", |(component, _)| component);
    let level = record.level();
    let second = clock.now_ms() / 1_000;
    let mut limits = lock(limits);
    let limit = limits.entry(component.to_owned()).or_default();
    if limit.second != second {
        let left_out = std::mem::take(&mut limit.left_out);
        *limit = ComponentLimit { second, ..ComponentLimit::default() };
        if left_out > 0 {
            send(format!(
                "{} WARN vm={vm_name} {component}: log lines were dropped, left_out={left_out}",
                Clock::unix_ms()
            ));
        }
    }
    limit.lines += 1;
    if limit.lines > MAX_COMPONENT_LINES_PER_S {
        limit.left_out += 1;
        return;
    }
    if !send(format!("{} {level} vm={vm_name} {message}", Clock::unix_ms())) {
        limit.left_out += 1;
    }
}

/// Queues a line for the writer thread. Returns whether the line was queued, which is `false` if the queue is full or
/// not installed, or the writer thread has ended.
fn send(line: String) -> bool {
    let line = bounded_line(line);
    let Some(queue) = QUEUE.get() else { return false };
    PENDING_LINES.fetch_add(1, Ordering::AcqRel);
    match queue.try_send(line) {
        Ok(()) => true,
        Err(TrySendError::Disconnected(_) | TrySendError::Full(_)) => {
            PENDING_LINES.fetch_sub(1, Ordering::AcqRel);
            false
        }
    }
}

/// Cuts a line that is too large, and marks the cut.
pub fn bounded_line(mut line: String) -> String {
    if line.len() <= MAX_LINE_BYTES {
        return line;
    }
    let kept_bytes = MAX_LINE_BYTES - CUT_MARK.len();
    let end = (0..=kept_bytes).rev().find(|&end| line.is_char_boundary(end)).unwrap_or(0);
    line.truncate(end);
    line.push_str(CUT_MARK);
    line.shrink_to_fit();
    line
}

/// Writes queued lines to standard output until the queue is closed. Runs on the writer thread.
fn write(receiver: &Receiver<String>) {
    let mut output = std::io::stdout();
    while let Ok(mut line) = receiver.recv() {
        let mut lines = 1;
        line.push('\n');
        // All queued lines are written by one call.
        while let Ok(next) = receiver.try_recv() {
            line.push_str(&next);
            line.push('\n');
            lines += 1;
        }
        // A failure is ignored, because without standard output it cannot be reported.
        let _ = output.write_all(line.as_bytes()).and_then(|()| output.flush());
        PENDING_LINES.fetch_sub(lines, Ordering::AcqRel);
    }
}
