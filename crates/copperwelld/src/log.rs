//! Where log lines go and how they look.

use std::{str::FromStr, sync::Arc};

use error_stack::{Report, ResultExt};
use spdlog::{
    Level, LevelFilter, Logger,
    formatter::{Formatter, FullFormatter, JsonFormatter},
    sink::StdStreamSink,
};

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

/// Sends log lines as JSON objects to standard output.
///
/// # Errors
///
/// An error if the logger cannot be built.
pub fn install_on_stdout() -> Result<(), Report<spdlog::Error>> {
    let sink = StdStreamSink::builder()
        .stdout()
        .formatter(JsonFormatter::new())
        .build_arc()
        .attach("building the log sink")?;
    set_default(sink)
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

fn set_default(sink: Arc<StdStreamSink>) -> Result<(), Report<spdlog::Error>> {
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(Level::Info))
        .build()
        .attach("building the logger")?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
