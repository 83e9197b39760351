//! Scenario files: a workload and the faults that strike it.

use std::{fmt, fs, path::Path, time::Duration};

use copperwell_message::Class;
use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};

/// A scenario.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// The user whose sizes it takes.
    pub user: User,
    /// How long load is offered.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Daemons in each data centre.
    pub daemons: usize,
    /// The load on each service.
    pub load: Vec<Load>,
    /// The faults, in any order.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// A user of copperwell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum User {
    /// Abraziv: cabin bookings.
    Abraziv,
    /// Tazza Circolare: cup returns.
    Tazza,
}

/// The load on one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// The service.
    pub service: String,
    /// Requests per second.
    pub rate: f64,
    /// Keys in use.
    pub keys: u64,
    /// The exponent of the Zipf distribution over keys; zero is uniform.
    #[serde(default)]
    pub skew: f64,
    /// How often the hottest keys change; never if absent.
    #[serde(default, with = "humantime_serde")]
    pub hot_keys_change: Option<Duration>,
    /// The share of requests that are not repeatable.
    #[serde(default)]
    pub once: f64,
    /// How long a request takes at its server.
    #[serde(with = "humantime_serde")]
    pub service_time: Duration,
    /// A burst on top of the rate.
    #[serde(default)]
    pub burst: Option<Burst>,
}

/// A time in which the rate is a multiple of the usual.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// When it begins.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// How long it lasts.
    #[serde(with = "humantime_serde")]
    pub lasts: Duration,
    /// The factor.
    pub factor: f64,
}

/// A fault.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it strikes.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// How long it lasts; until the end if absent.
    #[serde(default, with = "humantime_serde")]
    pub lasts: Option<Duration>,
    /// What strikes.
    #[serde(with = "serde_norway::with::singleton_map")]
    pub what: What,
}

/// What strikes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum What {
    /// A server loses its process; at the end it starts again, empty.
    KillUpstream(String),
    /// A server stops and goes on at the end.
    FreezeUpstream(String),
    /// A server wants no new work.
    DrainUpstream(String),
    /// A server sheds every request.
    ShedUpstream(String),
    /// The leader of a group loses its process; a new VM replaces it at the end.
    KillLeader(String),
    /// The leader of a group stops and goes on at the end.
    PauseLeader(String),
    /// Every daemon is stopped and replaced, one by one.
    ReplaceDaemons,
    /// The platform's log is down.
    LogDown,
    /// The next appends take effect without an answer.
    LogLosesAnswers(u32),
    /// A data centre loses the others and the platform.
    CutDataCentre(String),
}

/// A scenario file that cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the scenario cannot be used")
    }
}

impl std::error::Error for Error {}

impl Scenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    ///
    /// [`Error`] with the file and the fault in it.
    pub fn load(path: &Path) -> Result<Self, Report<Error>> {
        let text = fs::read_to_string(path)
            .change_context(Error)
            .attach_with(|| format!("reading {}", path.display()))?;
        serde_norway::from_str(&text)
            .change_context(Error)
            .attach_with(|| format!("in {}", path.display()))
    }

    /// The class that load has on a service, for measures that are split by class.
    #[must_use]
    pub fn class_of(service: &str) -> Class {
        if service.contains("report") {
            Class::Batch
        } else {
            Class::Interactive
        }
    }
}
