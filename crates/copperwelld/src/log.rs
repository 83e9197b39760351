//! Where log lines go and how they look.

use std::{
    io::{self, Write},
    str::FromStr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::SystemTime,
};

use error_stack::{Report, ResultExt};
use spdlog::{
    Level, LevelFilter, Logger,
    formatter::{Formatter, FullFormatter, JsonFormatter},
    sink::{Sink, StdStreamSink, WriteSink},
};

/// Lines that may wait to be written.
const LINES_MAX: usize = 4096;

/// About how much is written at once, in bytes.
const WRITE_BYTES_MAX: usize = 64 << 10;

/// The shape of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Lines for people.
    Text,
    /// One JSON object a line.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!(
                "log format `{text}` is unknown; use `text` or `json`"
            )),
        }
    }
}

/// Sends log lines to standard error.
///
/// # Errors
///
/// An error if the logger cannot be built.
pub fn install(format: Format) -> Result<(), Report<spdlog::Error>> {
    match format {
        Format::Text => install_with(FullFormatter::new()),
        Format::Json => install_with(JsonFormatter::new()),
    }
}

/// Sends log lines as JSON objects to `output`, which may stop reading at any time.
///
/// Lines wait for a thread that writes them; those that do not fit are dropped, and a line tells how
/// many. Gives the counter of dropped lines.
///
/// # Errors
///
/// An error if the logger cannot be built.
pub fn install_bounded(
    output: impl Write + Send + 'static,
) -> Result<Arc<AtomicU64>, Report<spdlog::Error>> {
    let (lines, written) = sync_channel(LINES_MAX);
    let dropped = Arc::new(AtomicU64::new(0));
    let counter = dropped.clone();
    thread::spawn(move || write_lines(&written, output, &counter));
    let queue = Queue {
        lines,
        dropped: dropped.clone(),
    };
    let sink = WriteSink::builder()
        .target(queue)
        .formatter(JsonFormatter::new())
        .build_arc()
        .attach("building the log sink")?;
    set_default(sink)?;
    Ok(dropped)
}

/// Lines on their way to the thread that writes them; writing to it never blocks.
struct Queue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the logger is gone.
fn write_lines(lines: &Receiver<Vec<u8>>, mut output: impl Write, dropped: &AtomicU64) {
    let mut told = 0;
    while let Ok(mut bytes) = lines.recv() {
        // What has gathered meanwhile is written at once.
        while bytes.len() < WRITE_BYTES_MAX
            && let Ok(line) = lines.try_recv()
        {
            bytes.extend_from_slice(&line);
        }
        let count = dropped.load(Ordering::Relaxed);
        if count > told {
            let line = format!(
                "{{\"level\":\"warn\",\"timestamp\":{},\"payload\":\"log lines were dropped\",\"kv\":{{\"event\":\"log-dropped\",\"count\":{}}}}}\n",
                now_millis(),
                count - told
            );
            bytes.extend_from_slice(line.as_bytes());
            told = count;
        }
        // Nobody is left to tell if the output is gone.
        let _ = output.write_all(&bytes);
    }
}

/// Milliseconds since the Unix epoch.
fn now_millis() -> u128 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default().as_millis()
}

/// Writes no log lines, for programs that run daemons among other things.
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
