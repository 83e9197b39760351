//! The resource usage of a process, read from `/proc`.

use std::{fs, io, time::Duration};

use crate::node::Node;

/// The unit of times in `/proc/PID/stat`, in ticks per second.
const TICKS_PER_S: f64 = 100.0;

/// The index of the user time in `/proc/PID/stat`, followed by the system time.
///
/// Fields are counted after the process name in parentheses, since the name may contain spaces.
const USER_TIME_FIELD: usize = 11;

/// The unit of sizes in `/proc/PID/status`, in bytes.
const BYTES_PER_KIB: u64 = 1024;

/// Reads the resource usage of a process.
#[derive(Debug, Clone)]
pub struct Usage {
    proc_dir: String,
}

impl Usage {
    /// Returns the usage of this process.
    #[must_use]
    pub fn of_self() -> Self {
        Self {
            proc_dir: "/proc/self".to_owned(),
        }
    }

    /// Returns the usage of a daemon's process.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not run as a child process.
    pub fn of(node: &Node) -> io::Result<Self> {
        let id = node.process_id();
        let id = id.ok_or_else(|| {
            io::Error::other("the daemon does not run as a child process; use `Launch::Program`")
        })?;
        Ok(Self {
            proc_dir: format!("/proc/{id}"),
        })
    }

    /// Returns the user and system time that the process has used so far.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn processor_time(&self) -> io::Result<Duration> {
        let stat = fs::read_to_string(format!("{}/stat", self.proc_dir))?;
        let (_, fields) = stat.rsplit_once(')').unwrap_or_default();
        let times = fields.split_whitespace().skip(USER_TIME_FIELD).take(2);
        let ticks: Result<Vec<f64>, _> = times.map(str::parse).collect();
        let ticks: f64 = ticks.map_err(io::Error::other)?.iter().sum();
        Ok(Duration::from_secs_f64(ticks / TICKS_PER_S))
    }

    /// Returns the size of the resident set, in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn resident(&self) -> io::Result<u64> {
        let status = fs::read_to_string(format!("{}/status", self.proc_dir))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        let kib =
            kib.ok_or_else(|| io::Error::other("/proc/PID/status has no valid VmRSS line"))?;
        Ok(kib * BYTES_PER_KIB)
    }

    /// Returns the number of open file descriptors, including connections.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn open_files(&self) -> io::Result<usize> {
        Ok(fs::read_dir(format!("{}/fd", self.proc_dir))?.count())
    }
}
