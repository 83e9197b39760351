//! Scenario files, which describe a workload and the faults injected during it.

use std::{fmt, fs, path::Path, time::Duration};

use copperwell_message::Class;
use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};

/// A workload with faults.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The scenario's name.
    pub name: String,
    /// The user whose example manifest the cluster runs with.
    pub user: User,
    /// How long load is offered.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// The number of daemons in each data centre.
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
    /// The name of the service.
    pub service: String,
    /// Requests per second.
    pub rate: f64,
    /// The number of distinct keys.
    pub keys: u64,
    /// The exponent of the Zipf distribution over keys; zero is uniform.
    #[serde(default)]
    pub skew: f64,
    /// The interval at which the set of hot keys changes; never if absent.
    #[serde(default, with = "humantime_serde")]
    pub hot_keys_change: Option<Duration>,
    /// The share of requests that are not repeatable, from 0 to 1.
    #[serde(default)]
    pub once: f64,
    /// How long a server takes to run a request.
    #[serde(with = "humantime_serde")]
    pub service_time: Duration,
    /// An interval with a higher rate.
    #[serde(default)]
    pub burst: Option<Burst>,
}

/// An interval in which the rate is multiplied by a factor.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// When the burst begins, from the start of the load.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// The duration of the burst.
    #[serde(with = "humantime_serde")]
    pub lasts: Duration,
    /// The factor by which the rate is multiplied.
    pub factor: f64,
}

/// A fault that is injected at a given time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When the fault is injected, from the start of the load.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// The duration of the fault; until the end of the run if absent.
    #[serde(default, with = "humantime_serde")]
    pub lasts: Option<Duration>,
    /// The kind of the fault.
    #[serde(with = "serde_norway::with::singleton_map")]
    pub what: What,
}

/// The kind of a fault, with its target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum What {
    /// The process of an upstream is killed; it restarts without state at the end.
    KillUpstream(String),
    /// An upstream freezes and resumes at the end.
    FreezeUpstream(String),
    /// An upstream drains until the end.
    DrainUpstream(String),
    /// An upstream sheds all requests until the end.
    ShedUpstream(String),
    /// The process of a group's leader is killed; a new VM replaces it at the end.
    KillLeader(String),
    /// The process of a group's leader is paused and resumes at the end.
    PauseLeader(String),
    /// Every daemon is replaced and shut down gracefully, one by one.
    ReplaceDaemons,
    /// The platform's log is unavailable until the end.
    LogDown,
    /// The next appends, as many as given, take effect but get no answer.
    LogLosesAnswers(u32),
    /// A data centre is partitioned from the others and from the platform until the end.
    CutDataCentre(String),
}

/// A scenario file cannot be read or parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the scenario file cannot be read or parsed; check its path and its fields")
    }
}

impl std::error::Error for Error {}

impl Scenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] with the path and the cause attached.
    pub fn load(path: &Path) -> Result<Self, Report<Error>> {
        let text = fs::read_to_string(path)
            .change_context(Error)
            .attach_with(|| format!("reading {}", path.display()))?;
        serde_norway::from_str(&text)
            .change_context(Error)
            .attach_with(|| format!("in {}", path.display()))
    }

    /// Returns the request class of a service by its name, for measures split by class.
    #[must_use]
    pub fn class_of(service: &str) -> Class {
        if service.contains("report") {
            Class::Batch
        } else {
            Class::Interactive
        }
    }
}
