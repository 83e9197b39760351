//! One daemon, as a process of its own or as a runtime in this process.

use std::{
    io::{self, BufRead, BufReader},
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::Duration,
};

use copperwell_keyspace::{DaemonName, DataCentreName};
use copperwell_log::{Vm, VmState};
use copperwell_standin::proxy::{Direction, Proxy};
use copperwelld::{
    daemon::{Daemon, Listening},
    settings::Settings,
};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tokio::runtime::{Builder, Runtime};

/// Time in which a daemon must say where it listens.
const START_TIME: Duration = Duration::from_secs(20);

/// The number of the next settings file.
static NEXT_FILE: AtomicU64 = AtomicU64::new(0);

/// How daemons are started.
#[derive(Debug, Clone)]
pub enum Launch {
    /// As a runtime in this process; it cannot be paused.
    InProcess,
    /// As a process that runs this program.
    Program(PathBuf),
}

/// Fault proxies before the ports that other daemons use.
#[derive(Debug)]
pub struct Doors {
    /// For request streams.
    pub requests: Proxy,
    /// For control calls.
    pub control: Proxy,
    /// For the daemon's own calls to the platform.
    pub platform: Proxy,
}

impl Doors {
    /// Starts proxies; they pass connections on once the daemon has started.
    ///
    /// # Errors
    ///
    /// An error if no port can be listened on.
    pub async fn start(platform: SocketAddr) -> io::Result<Self> {
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
        Ok(Self {
            requests: Proxy::start(nowhere).await?,
            control: Proxy::start(nowhere).await?,
            platform: Proxy::start(platform).await?,
        })
    }

    /// Delays what passes, each way, but for what comes from the daemon's own data centre.
    pub fn set_distance(&self, delay: Duration, near: IpAddr) {
        self.requests.set_distance(delay, near);
        self.control.set_distance(delay, near);
    }

    /// Holds back all bytes in one direction.
    pub fn cut_way(&self, direction: Direction) {
        self.requests.cut(direction);
        self.control.cut(direction);
    }

    /// Lets everything pass again.
    pub fn heal(&self) {
        self.requests.heal();
        self.control.heal();
    }

    /// Holds back what comes from these addresses, or from nobody.
    pub fn cut(&self, sources: &[IpAddr]) {
        for proxy in [&self.requests, &self.control] {
            proxy.heal();
            for source in sources {
                proxy.cut_source(*source);
            }
        }
    }
}

/// A daemon.
#[derive(Debug)]
pub struct Node {
    /// Its name.
    pub name: DaemonName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where it listens.
    pub addresses: Listening,
    /// What stands before it, if anything does.
    pub doors: Option<Doors>,
    run: Run,
}

#[derive(Debug)]
enum Run {
    Process(Child),
    Runtime {
        runtime: Option<Runtime>,
        stop: Option<tokio::sync::oneshot::Sender<()>>,
        stopped: Mutex<mpsc::Receiver<()>>,
    },
}

impl Node {
    /// Starts a daemon and waits until it listens; blocks the thread.
    ///
    /// # Errors
    ///
    /// An error if it does not start.
    pub fn start(settings: &Settings, launch: &Launch, doors: Option<Doors>) -> io::Result<Self> {
        let (addresses, run) = match launch {
            Launch::Program(program) => start_process(settings, program)?,
            Launch::InProcess => start_runtime(settings)?,
        };
        if let Some(doors) = &doors {
            doors.requests.set_target(addresses.requests);
            doors.control.set_target(addresses.control);
        }
        Ok(Self {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            addresses,
            doors,
            run,
        })
    }

    /// The daemon as the platform lists it.
    #[must_use]
    pub fn vm(&self) -> Vm {
        Vm {
            name: self.name.clone(),
            data_centre: self.data_centre.clone(),
            state: VmState::Live,
            control: self.control(),
        }
    }

    /// Where other daemons reach its control calls.
    #[must_use]
    pub fn control(&self) -> SocketAddr {
        let door = self.doors.as_ref().map(|doors| doors.control.address());
        door.unwrap_or(self.addresses.control)
    }

    /// The id of the daemon's process, if it has one of its own.
    #[must_use]
    pub fn process_id(&self) -> Option<u32> {
        match &self.run {
            Run::Process(child) => Some(child.id()),
            Run::Runtime { .. } => None,
        }
    }

    /// Ends the daemon at once.
    pub fn kill(&mut self) {
        match &mut self.run {
            Run::Process(child) => {
                // It may have ended by itself.
                let _ = child.kill();
                let _ = child.wait();
            }
            Run::Runtime { runtime, .. } => {
                if let Some(runtime) = runtime.take() {
                    runtime.shutdown_background();
                }
            }
        }
    }

    /// Asks the daemon to stop, as the platform does before it takes a VM away.
    pub fn terminate(&mut self) {
        match &mut self.run {
            Run::Process(child) => signal(child, Signal::TERM),
            Run::Runtime { stop, .. } => {
                if let Some(stop) = stop.take() {
                    // A daemon that ended needs no asking.
                    let _ = stop.send(());
                }
            }
        }
    }

    /// Waits until the daemon has ended; blocks the thread. False if it failed.
    pub fn wait(&mut self) -> bool {
        match &mut self.run {
            Run::Process(child) => child.wait().is_ok_and(|status| status.success()),
            Run::Runtime { stopped, .. } => {
                let stopped = stopped.get_mut().unwrap_or_else(PoisonError::into_inner);
                stopped.recv().is_ok()
            }
        }
    }

    /// Stops the process where it is; only for [`Launch::Program`].
    ///
    /// # Panics
    ///
    /// If the daemon runs in this process.
    pub fn pause(&self) {
        signal(self.child(), Signal::STOP);
    }

    /// Lets a paused process go on.
    ///
    /// # Panics
    ///
    /// If the daemon runs in this process.
    pub fn resume(&self) {
        signal(self.child(), Signal::CONT);
    }

    fn child(&self) -> &Child {
        match &self.run {
            Run::Process(child) => child,
            Run::Runtime { .. } => panic!("a daemon in this process cannot be paused"),
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn signal(child: &Child, signal: Signal) {
    let id = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
    if let Some(id) = id {
        // The process may have ended by itself.
        let _ = kill_process(id, signal);
    }
}

fn start_process(settings: &Settings, program: &PathBuf) -> io::Result<(Listening, Run)> {
    let text = serde_norway::to_string(settings).map_err(io::Error::other)?;
    let folder = std::env::temp_dir().join(format!("copperwell-rig-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    // Clusters of one process may give their daemons the same names.
    let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let file = folder.join(format!("{number}-{}.yaml", settings.name));
    std::fs::write(&file, text)?;
    let mut child = Command::new(program)
        .arg("--settings")
        .arg(&file)
        .args(["--log-format", "json"])
        .stderr(Stdio::piped())
        .spawn()?;
    let stderr = child
        .stderr
        .take()
        .ok_or_else(|| io::Error::other("no standard error"))?;
    let (to, from) = mpsc::channel();
    let name = settings.name.clone();
    let echo = std::env::var_os("COPPERWELL_RIG_LOG").is_some();
    thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            if echo {
                eprintln!("{name}: {line}");
            }
            if let Some(addresses) = addresses_in(&line) {
                // Only the first line counts, and its reader may have gone.
                let _ = to.send(addresses);
            }
        }
    });
    let run = Run::Process(child);
    match from.recv_timeout(START_TIME) {
        Ok(addresses) => Ok((addresses, run)),
        Err(_) => Err(io::Error::other(format!("{} did not start", settings.name))),
    }
}

/// Reads the line in which a daemon says where it listens.
fn addresses_in(line: &str) -> Option<Listening> {
    let line: Value = serde_json::from_str(line).ok()?;
    if line["payload"] != "serving" {
        return None;
    }
    let address = |name: &str| line["kv"][name].as_str()?.parse().ok();
    Some(Listening {
        callers: address("callers")?,
        requests: address("requests")?,
        control: address("control")?,
        admin: address("admin")?,
    })
}

fn start_runtime(settings: &Settings) -> io::Result<(Listening, Run)> {
    let mut builder = Builder::new_multi_thread();
    builder
        .worker_threads(settings.workers.unwrap_or(2))
        .enable_all();
    let runtime = builder.build()?;
    let (stop, stopping) = tokio::sync::oneshot::channel::<()>();
    let (done, stopped) = mpsc::channel();
    let (to, from) = mpsc::channel();
    let settings = settings.clone();
    runtime.spawn(async move {
        let daemon = match Daemon::start(settings).await {
            Ok(daemon) => daemon,
            Err(report) => {
                let _ = to.send(Err(io::Error::other(format!("{report:?}"))));
                return;
            }
        };
        let _ = to.send(Ok(daemon.listening()));
        if stopping.await.is_ok() {
            daemon.stop().await;
            let _ = done.send(());
        }
    });
    let addresses = from.recv_timeout(START_TIME).map_err(io::Error::other)??;
    let run = Run::Runtime {
        runtime: Some(runtime),
        stop: Some(stop),
        stopped: Mutex::new(stopped),
    };
    Ok((addresses, run))
}
