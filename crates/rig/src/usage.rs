//! What a process uses of the machine, as the kernel counts it.

use std::{fs, io, time::Duration};

use crate::node::Node;

/// Clock ticks of `/proc/PID/stat` in a second.
const TICKS_PER_S: f64 = 100.0;

/// Where user and system time stand in `/proc/PID/stat`, counted from after the name in
/// parentheses, which may hold spaces.
const USER_TIME: usize = 11;

/// Bytes of the unit of `/proc/PID/status`.
const KIB: u64 = 1024;

/// A process that is looked at.
#[derive(Debug, Clone)]
pub struct Usage {
    folder: String,
}

impl Usage {
    /// That of this process.
    #[must_use]
    pub fn of_self() -> Self {
        Self {
            folder: "/proc/self".to_owned(),
        }
    }

    /// That of a daemon.
    ///
    /// # Errors
    ///
    /// An error if the daemon has no process of its own.
    pub fn of(node: &Node) -> io::Result<Self> {
        let id = node.process_id();
        let id = id.ok_or_else(|| io::Error::other("the daemon has no process of its own"))?;
        Ok(Self {
            folder: format!("/proc/{id}"),
        })
    }

    /// User and system time so far.
    ///
    /// # Errors
    ///
    /// An error if the process has ended.
    pub fn processor_time(&self) -> io::Result<Duration> {
        let stat = fs::read_to_string(format!("{}/stat", self.folder))?;
        let (_, fields) = stat.rsplit_once(')').unwrap_or_default();
        let times = fields.split_whitespace().skip(USER_TIME).take(2);
        let ticks: Result<Vec<f64>, _> = times.map(str::parse).collect();
        let ticks: f64 = ticks.map_err(io::Error::other)?.iter().sum();
        Ok(Duration::from_secs_f64(ticks / TICKS_PER_S))
    }

    /// The resident set, in bytes.
    ///
    /// # Errors
    ///
    /// An error if the process has ended.
    pub fn resident(&self) -> io::Result<u64> {
        let status = fs::read_to_string(format!("{}/status", self.folder))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        let number = number.ok_or_else(|| io::Error::other("the kernel tells no resident set"))?;
        Ok(number * KIB)
    }

    /// Files that are open, connections included.
    ///
    /// # Errors
    ///
    /// An error if the process has ended.
    pub fn open_files(&self) -> io::Result<usize> {
        Ok(fs::read_dir(format!("{}/fd", self.folder))?.count())
    }
}
