//! Destination and format of log lines.

use std::{
    io::{self, Write},
    str::FromStr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, SystemTime},
};

use error_stack::{Report, ResultExt};
use spdlog::{
    Level, LevelFilter, Logger,
    formatter::{Formatter, FullFormatter, JsonFormatter},
    sink::{Sink, StdStreamSink, WriteSink},
};

/// The capacity of the queue of lines to write.
const QUEUE_LINES_MAX: usize = 4096;

/// The approximate size of one write, in bytes.
const WRITE_BYTES_MAX: usize = 64 << 10;

/// How often a flush looks whether all lines are written, so that it gives up before the platform ends a stopping daemon.
const FLUSH_POLLS_MAX: u32 = 100;

/// The interval at which a flush looks.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("unknown log format `{text}`; use `text` or `json`")),
        }
    }
}

/// Installs a logger that writes to standard error.
///
/// # Errors
///
/// Returns an error if the logger cannot be built.
pub fn install(format: Format) -> Result<(), Report<spdlog::Error>> {
    match format {
        Format::Text => install_with(FullFormatter::new()),
        Format::Json => install_with(JsonFormatter::new()),
    }
}

/// Installs a logger that writes JSON objects to `output`, whose reader may stop reading at any
/// time.
///
/// A separate thread writes the lines from a bounded queue. Lines that do not fit are dropped, and
/// a log line reports their number. Returns the counter of dropped lines.
///
/// # Errors
///
/// Returns an error if the logger cannot be built.
pub fn install_bounded(
    output: impl Write + Send + 'static,
) -> Result<Arc<AtomicU64>, Report<spdlog::Error>> {
    let (lines, queued) = sync_channel(QUEUE_LINES_MAX);
    let dropped = Arc::new(AtomicU64::new(0));
    let written = Arc::new(AtomicU64::new(0));
    let (writer_dropped, writer_written) = (dropped.clone(), written.clone());
    thread::spawn(move || write_lines(&queued, output, &writer_dropped, &writer_written));
    let queue = Queue {
        lines,
        dropped: dropped.clone(),
        queued: 0,
        written,
    };
    let sink = WriteSink::builder()
        .target(queue)
        .formatter(JsonFormatter::new())
        .build_arc()
        .attach("building the log sink")?;
    set_default(sink)?;
    Ok(dropped)
}

/// A non-blocking writer that queues lines for the writing thread.
struct Queue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    /// The lines that were queued.
    queued: u64,
    /// Those of them that the writing thread has written.
    written: Arc<AtomicU64>,
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(line.to_vec()) {
            Ok(()) => self.queued += 1,
            Err(_) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    /// Waits until all lines are written, or for a short time if the reader has stopped reading.
    fn flush(&mut self) -> io::Result<()> {
        for _ in 0..FLUSH_POLLS_MAX {
            if self.written.load(Ordering::Acquire) >= self.queued {
                return Ok(());
            }
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
        Err(io::ErrorKind::TimedOut.into())
    }
}

/// Writes queued lines until the logger is dropped.
fn write_lines(
    lines: &Receiver<Vec<u8>>,
    mut output: impl Write,
    dropped: &AtomicU64,
    written: &AtomicU64,
) {
    let mut reported = 0;
    while let Ok(mut batch) = lines.recv() {
        let mut taken = 1;
        // Lines queued in the meantime are written in one batch.
        while batch.len() < WRITE_BYTES_MAX
            && let Ok(line) = lines.try_recv()
        {
            batch.extend_from_slice(&line);
            taken += 1;
        }
        let count = dropped.load(Ordering::Relaxed);
        if count > reported {
            let line = format!(
                "{{\"level\":\"warn\",\"timestamp\":{},\"payload\":\"log lines were dropped\",\"kv\":{{\"event\":\"log-dropped\",\"count\":{}}}}}\n",
                unix_time_ms(),
                count - reported
            );
            batch.extend_from_slice(line.as_bytes());
            reported = count;
        }
        // A failed write cannot be reported anywhere.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        written.fetch_add(taken, Ordering::Release);
    }
}

/// Returns the milliseconds since the Unix epoch.
fn unix_time_ms() -> u128 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis()
}

/// Waits until the lines logged so far are written, for a short time at most.
pub fn flush() {
    spdlog::default_logger().flush();
}

/// Turns logging off, for programs that embed daemons.
pub fn silence() {
    spdlog::default_logger().set_level_filter(LevelFilter::Off);
}

fn install_with(formatter: impl Formatter + 'static) -> Result<(), Report<spdlog::Error>> {
    let sink = StdStreamSink::builder()
        .stderr()
        .formatter(formatter)
        .build_arc()
        .attach("building the log sink")?;
    set_default(sink)
}

fn set_default(sink: Arc<impl Sink + 'static>) -> Result<(), Report<spdlog::Error>> {
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(Level::Info))
        .build()
        .attach("building the logger")?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
