//! Exit codes and the formatting of errors.

use std::{
    fmt,
    io::{self, Write},
    process::ExitCode,
};

use copperwell_log::Error as PlatformError;
use copperwell_operator::{load, publish};
use error_stack::{AttachmentKind, FrameKind, Report};

/// The result of a command.
pub(crate) type Result = std::result::Result<Exit, Report<Exit>>;

/// The outcome of a command, which determines its exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded.
    Done,
    /// The manifest, configuration or settings are not valid.
    Invalid,
    /// Another manifest was published first.
    Conflict,
    /// Nothing was done, as platform or daemons do not respond.
    Unreachable,
    /// A response was lost, so the outcome is unknown.
    Unknown,
    /// The manifest was accepted, but was not in force everywhere in time.
    Late,
    /// Nothing was found.
    NotFound,
}

impl fmt::Display for Exit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::Invalid => "the file is not valid",
            Self::Conflict => "another manifest was published first",
            Self::Unreachable => "nothing was done",
            Self::Unknown => "the outcome is not known",
            Self::Late => "not in force everywhere",
            Self::NotFound => "nothing was found",
        })
    }
}

impl std::error::Error for Exit {}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Done => 0,
            Exit::Invalid => 2,
            Exit::Conflict => 3,
            Exit::Unreachable => 4,
            Exit::Unknown => 5,
            Exit::Late => 6,
            Exit::NotFound => 7,
        })
    }
}

impl From<load::Error> for Exit {
    fn from(error: load::Error) -> Self {
        match error {
            load::Error::File | load::Error::Manifest => Self::Invalid,
            load::Error::Log => Self::Unreachable,
        }
    }
}

impl From<&publish::Error> for Exit {
    fn from(error: &publish::Error) -> Self {
        match error {
            publish::Error::Conflict { .. } => Self::Conflict,
            publish::Error::Invalid(_) => Self::Invalid,
            publish::Error::NotPublished
            | publish::Error::Behind { .. }
            | publish::Error::NoState => Self::Unreachable,
            publish::Error::Unknown => Self::Unknown,
        }
    }
}

/// Converts an error of loading to the outcome of the command.
pub(crate) fn from_load(report: Report<load::Error>) -> Report<Exit> {
    let exit = Exit::from(*report.current_context());
    report.change_context(exit)
}

/// Converts an error of publishing to the outcome of the command.
pub(crate) fn from_publish(report: Report<publish::Error>) -> Report<Exit> {
    let exit = Exit::from(report.current_context());
    report.change_context(exit)
}

/// Converts an error of a call to a daemon to the outcome of the command.
pub(crate) fn from_platform(report: Report<PlatformError>) -> Report<Exit> {
    report.change_context(Exit::Unreachable)
}

/// Prints a line to standard output; ignores errors such as a closed pipe.
pub(crate) fn print(line: impl fmt::Display) {
    let _ = writeln!(io::stdout(), "{line}");
}

/// Formats the contexts and attachments of a report, one a line, without source locations.
pub(crate) fn describe(report: &Report<Exit>) -> String {
    let mut lines: Vec<String> = Vec::new();
    for frame in report.frames() {
        let line = match frame.kind() {
            FrameKind::Context(context) => context.to_string(),
            FrameKind::Attachment(AttachmentKind::Printable(text)) => text.to_string(),
            FrameKind::Attachment(_) => continue,
        };
        if !lines.contains(&line) {
            lines.push(line);
        }
    }
    lines.join("\n  ")
}
