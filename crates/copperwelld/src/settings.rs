//! The daemon's settings.

use std::{fmt, fs, net::SocketAddr, path::Path, time::Duration};

use copperwell_caller::server;
use copperwell_keyspace::{DaemonName, DataCentreName, RegionName};
use error_stack::{Report, ResultExt};
use garde::Validate;
use serde::{Deserialize, Serialize};

/// The longest name, in bytes.
const NAME_MAX: usize = 64;

/// What a daemon is told at its start.
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
    /// Where others reach this daemon, if not at the addresses that it listens on.
    #[serde(default)]
    pub advertise: Option<Advertise>,
    /// The platform's services.
    pub platform: Platform,
    /// Control addresses of other daemons to begin with.
    #[serde(default)]
    #[garde(length(max = 64))]
    pub seeds: Vec<SocketAddr>,
    /// Limits on callers' connections.
    #[serde(default)]
    #[garde(dive)]
    pub callers: Callers,
    /// How long a stopping daemon waits for requests in flight.
    #[serde(default = "default_stop_time", with = "humantime_serde")]
    pub stop_time: Duration,
    /// Worker threads; as many as cores if absent.
    #[serde(default)]
    #[garde(inner(range(min = 1, max = 256)))]
    pub workers: Option<usize>,
}

/// Addresses to listen on; port 0 takes a free one.
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
    /// Metrics, health and status.
    pub admin: SocketAddr,
}

/// Addresses at which others reach a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Advertise {
    /// For request streams.
    pub requests: SocketAddr,
    /// For control calls.
    pub control: SocketAddr,
    /// For metrics, health and status.
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
    /// How this daemon reads the log first; the other way serves when that one fails.
    #[serde(default)]
    pub read_log: ReadLog,
}

/// How a daemon reads the log first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReadLog {
    /// From the platform in a few daemons of each data centre, chosen by the daemons themselves, and
    /// from those in the others.
    #[default]
    Automatic,
    /// From the platform.
    Directly,
    /// From other daemons.
    ThroughPeers,
}

/// Limits on callers' connections.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
#[garde(allow_unvalidated)]
pub struct Callers {
    /// Connections at a time.
    #[garde(range(min = 1, max = 1_000_000))]
    pub connections: usize,
    /// The longest time to send a head.
    #[serde(with = "humantime_serde")]
    pub head_time: Duration,
    /// The most header fields of a request.
    #[garde(range(min = 8, max = 1024))]
    pub headers: usize,
    /// The largest head, in bytes.
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

/// Settings that cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the settings cannot be used")
    }
}

impl std::error::Error for Error {}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`Error`] with the file, field and remedy attached.
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
    /// [`Error`] with the field and remedy attached.
    pub fn parse(text: &str) -> Result<Self, Report<Error>> {
        let settings: Self = serde_norway::from_str(text).change_context(Error)?;
        settings.validate().change_context(Error)?;
        settings.check_addresses()?;
        Ok(settings)
    }

    fn check_addresses(&self) -> Result<(), Report<Error>> {
        let listen = &self.listen;
        let named = [
            ("listen.callers", listen.callers),
            ("listen.requests", listen.requests),
            ("listen.control", listen.control),
            ("listen.admin", listen.admin),
        ];
        for (index, (field, address)) in named.iter().enumerate() {
            let clash = named[..index]
                .iter()
                .find(|(_, other)| address.port() != 0 && other == address);
            if let Some((other, _)) = clash {
                let text =
                    format!("{field}: {address} is taken by {other}; give each its own port");
                return Err(Report::new(Error).attach(text));
            }
        }
        if self.advertise.is_none() && listen.control.ip().is_unspecified() {
            let text = "advertise: missing, and listen.control names no single address; \
                        set advertise.requests, .control and .admin to the VM's own";
            return Err(Report::new(Error).attach(text));
        }
        Ok(())
    }
}

/// The default of [`Settings::stop_time`].
fn default_stop_time() -> Duration {
    Duration::from_secs(20)
}

fn check_name(name: &std::sync::Arc<str>, (): &()) -> garde::Result {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    if name.is_empty() || name.len() > NAME_MAX || !name.chars().all(allowed) {
        let text =
            format!("`{name}` is no name; use 1 to {NAME_MAX} of a-z, A-Z, 0-9, `.`, `_`, `-`");
        return Err(garde::Error::new(text));
    }
    Ok(())
}
