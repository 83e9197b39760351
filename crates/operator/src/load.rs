//! Reads manifests from files and the agreed state from the log.

use std::{fmt, path::Path, time::Duration};

use copperwell_keyspace::{
    manifest::{Manifest, YAML_SIZE_MAX},
    reader::{Phase, Reader},
    record::STREAM,
};
use copperwell_log::{Log, http::Client};
use error_stack::{Report, ResultExt};
use tokio::{fs, time::sleep};

/// The pause between reads that bring nothing.
const PAUSE: Duration = Duration::from_millis(100);

/// What could not be loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The file cannot be read or is not a manifest.
    File,
    /// The manifest does not make sense.
    Manifest,
    /// The log cannot be read.
    Log,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::File => "the manifest cannot be read",
            Self::Manifest => "the manifest cannot be used",
            Self::Log => "the log cannot be read",
        })
    }
}

impl std::error::Error for Error {}

/// Reads a manifest from a YAML file and checks it by itself.
///
/// # Errors
///
/// [`Error::File`] or [`Error::Manifest`].
pub async fn manifest(path: &Path) -> Result<Manifest, Report<Error>> {
    let name = || format!("{}", path.display());
    let size = fs::metadata(path).await.change_context(Error::File);
    let size = size.attach_with(name)?.len();
    if size > YAML_SIZE_MAX as u64 {
        let text = format!("{}: {size} bytes, at most {YAML_SIZE_MAX} are read", name());
        return Err(Report::new(Error::File).attach(text));
    }
    let text = fs::read_to_string(path).await.change_context(Error::File);
    let text = text.attach_with(name)?;
    let manifest = Manifest::from_yaml(&text).change_context(Error::File);
    let manifest = manifest.attach_with(name)?;
    let checked = manifest.check().change_context(Error::Manifest);
    checked.attach_with(name)?;
    Ok(manifest)
}

/// Reads the log to its end.
///
/// Does not return while the log only has the part after a gap; the caller sets a timeout.
///
/// # Errors
///
/// [`Error::Log`] if the platform does not answer.
pub async fn state(log: &Client) -> Result<Reader, Report<Error>> {
    let mut reader = Reader::new();
    loop {
        let end = read_on(log, &mut reader).await?;
        if reader.phase() == Phase::Following && reader.next() >= end {
            return Ok(reader);
        }
        if reader.position() >= end {
            sleep(PAUSE).await;
        }
    }
}

/// Reads what the log has next and returns the log's end.
pub(crate) async fn read_on(log: &Client, reader: &mut Reader) -> Result<u64, Report<Error>> {
    let read = log.read(STREAM, reader.position(), Duration::ZERO).await;
    let batch = read.change_context(Error::Log)?;
    reader.take(&batch);
    Ok(batch.next)
}
