//! The daemon's settings.

use std::{fmt, fs, net::SocketAddr, path::Path, time::Duration};

use copperwell_caller::server;
use copperwell_keyspace::{DaemonName, DataCentreName, RegionName};
use error_stack::{Report, ResultExt};
use garde::Validate;
use serde::{Deserialize, Serialize};

/// The maximum length of a name, in bytes.
const NAME_MAX: usize = 64;

/// The settings of an entry daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Settings {
    /// The daemon's name, unique among all daemons.
    #[garde(custom(check_name))]
    pub name: DaemonName,
    /// The data centre that the VM is in.
    #[garde(custom(check_name))]
    pub data_centre: DataCentreName,
    /// The region that the data centre is in.
    #[garde(custom(check_name))]
    pub region: RegionName,
    /// The addresses that the daemon listens on.
    #[garde(dive)]
    pub listen: Listen,
    /// The addresses at which others reach this daemon, if they differ from those it listens on.
    #[serde(default)]
    pub advertise: Option<Advertise>,
    /// The platform's services.
    pub platform: Platform,
    /// Control addresses of the other daemons that this one contacts first.
    #[serde(default)]
    #[garde(length(max = 64))]
    pub seeds: Vec<SocketAddr>,
    /// Limits on callers' connections.
    #[serde(default)]
    #[garde(dive)]
    pub callers: Callers,
    /// How long a stopping daemon waits for in-flight requests.
    #[serde(default = "default_stop_time", with = "humantime_serde")]
    pub stop_time: Duration,
    /// The number of worker threads; the number of cores if absent.
    #[serde(default)]
    #[garde(inner(range(min = 1, max = 256)))]
    pub workers: Option<usize>,
}

/// Addresses to listen on; port 0 selects a free port.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Listen {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// Request streams from other daemons.
    pub requests: SocketAddr,
    /// Control calls from other daemons.
    pub control: SocketAddr,
    /// Metrics, health checks and status.
    pub admin: SocketAddr,
}

/// Addresses at which others reach a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Advertise {
    /// Request streams.
    pub requests: SocketAddr,
    /// Control calls.
    pub control: SocketAddr,
    /// Metrics, health checks and status.
    pub admin: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The append-only log.
    pub log: SocketAddr,
    /// The list of VMs.
    pub vms: SocketAddr,
    /// The preferred source of the log; the other source is the fallback.
    #[serde(default)]
    pub read_log: ReadLog,
}

/// A daemon's preferred source of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReadLog {
    /// The platform for a few daemons of each data centre, which the daemons choose themselves, and
    /// those readers for the others.
    #[default]
    Automatic,
    /// The platform.
    Directly,
    /// Other daemons.
    ThroughPeers,
}

/// Limits on callers' connections.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
#[garde(allow_unvalidated)]
pub struct Callers {
    /// The maximum number of concurrent connections.
    #[garde(range(min = 1, max = 1_000_000))]
    pub connections: usize,
    /// The timeout for receiving a request head.
    #[serde(with = "humantime_serde")]
    pub head_time: Duration,
    /// The maximum number of header fields of a request.
    #[garde(range(min = 8, max = 1024))]
    pub headers: usize,
    /// The maximum size of a request head, in bytes.
    #[garde(range(min = 8192, max = 1 << 20))]
    pub head_bytes: usize,
}

impl Default for Callers {
    fn default() -> Self {
        let server::Limits {
            connections,
            head_time,
            headers,
            head_bytes,
            ..
        } = server::Limits::default();
        Self {
            connections,
            head_time,
            headers,
            head_bytes,
        }
    }
}

/// The error of invalid settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("invalid settings")
    }
}

impl std::error::Error for Error {}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] with the file, field and remedy attached.
    pub fn load(path: &Path) -> Result<Self, Report<Error>> {
        let text = fs::read_to_string(path)
            .change_context(Error)
            .attach_with(|| format!("reading {}", path.display()))?;
        Self::parse(&text).attach_with(|| format!("in {}", path.display()))
    }

    /// Reads and checks settings in YAML.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] with the field and remedy attached.
    pub fn parse(text: &str) -> Result<Self, Report<Error>> {
        let settings: Self = serde_norway::from_str(text).change_context(Error)?;
        settings.validate().change_context(Error)?;
        settings.check_addresses()?;
        Ok(settings)
    }

    fn check_addresses(&self) -> Result<(), Report<Error>> {
        let listen = &self.listen;
        let addresses = [
            ("listen.callers", listen.callers),
            ("listen.requests", listen.requests),
            ("listen.control", listen.control),
            ("listen.admin", listen.admin),
        ];
        for (index, (field, address)) in addresses.iter().enumerate() {
            let duplicate = addresses[..index]
                .iter()
                .find(|(_, other)| address.port() != 0 && other == address);
            if let Some((other, _)) = duplicate {
                let text = format!(
                    "{field}: {address} is already used by {other}; use a different port for each"
                );
                return Err(Report::new(Error).attach(text));
            }
        }
        if self.advertise.is_none() && listen.control.ip().is_unspecified() {
            let text = "advertise: missing, and listen.control is not a specific address; \
                        set advertise.requests, .control and .admin to the VM's addresses";
            return Err(Report::new(Error).attach(text));
        }
        Ok(())
    }
}

/// Returns the default of [`Settings::stop_time`].
fn default_stop_time() -> Duration {
    Duration::from_secs(20)
}

fn check_name(name: &std::sync::Arc<str>, (): &()) -> garde::Result {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    if name.is_empty() || name.len() > NAME_MAX || !name.chars().all(allowed) {
        let text = format!(
            "`{name}` is not a valid name; use 1 to {NAME_MAX} of a-z, A-Z, 0-9, `.`, `_`, `-`"
        );
        return Err(garde::Error::new(text));
    }
    Ok(())
}
