//! A daemon that runs as a child process or on a runtime in this process.

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

/// How long a daemon may take until it reports its listen addresses.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The number of the next settings file, which makes file names unique.
static NEXT_FILE_NUMBER: AtomicU64 = AtomicU64::new(0);

/// How daemons are started.
#[derive(Debug, Clone)]
pub enum Launch {
    /// On a runtime in this process; the daemon cannot be paused.
    InProcess,
    /// As a child process that runs this program.
    Program(PathBuf),
}

/// The fault proxies on the connections of a daemon with other daemons and the platform.
#[derive(Debug)]
pub struct Proxies {
    /// In front of the daemon's port for request streams.
    pub requests: Proxy,
    /// In front of the daemon's port for control calls.
    pub control: Proxy,
    /// In front of the platform, for calls that the daemon makes.
    pub platform: Proxy,
}

impl Proxies {
    /// Starts the proxies; those in front of the daemon forward connections once
    /// [`Node::start`] has set their targets.
    ///
    /// # Errors
    ///
    /// Returns an error if a proxy cannot listen.
    pub async fn start(platform: SocketAddr) -> io::Result<Self> {
        let unset = SocketAddr::from(([127, 0, 0, 1], 1));
        Ok(Self {
            requests: Proxy::start(unset).await?,
            control: Proxy::start(unset).await?,
            platform: Proxy::start(platform).await?,
        })
    }

    /// Delays all bytes in each direction, except on connections from `local`, the address of the
    /// daemon's own data centre.
    pub fn set_one_way_delay(&self, delay: Duration, local: IpAddr) {
        self.requests.set_distance(delay, local);
        self.control.set_distance(delay, local);
    }

    /// Blocks all bytes of connections to the daemon's ports in one direction until healed.
    pub fn cut_way(&self, direction: Direction) {
        self.requests.cut(direction);
        self.control.cut(direction);
    }

    /// Ends the faults on the connections to the daemon's ports.
    pub fn heal(&self) {
        self.requests.heal();
        self.control.heal();
    }

    /// Blocks connections to the daemon's ports from exactly these addresses; none if empty.
    pub fn cut(&self, sources: &[IpAddr]) {
        for proxy in [&self.requests, &self.control] {
            proxy.heal();
            for source in sources {
                proxy.cut_source(*source);
            }
        }
    }
}

/// A daemon under the control of a test.
#[derive(Debug)]
pub struct Node {
    /// The daemon's name.
    pub name: DaemonName,
    /// The daemon's data centre.
    pub data_centre: DataCentreName,
    /// The addresses that the daemon listens on.
    pub addresses: Listening,
    /// The daemon's fault proxies, if it has any.
    pub doors: Option<Proxies>,
    host: Host,
}

/// What runs a daemon.
#[derive(Debug)]
enum Host {
    Process(Child),
    Runtime {
        runtime: Option<Runtime>,
        stop: Option<tokio::sync::oneshot::Sender<()>>,
        stopped: Mutex<mpsc::Receiver<()>>,
    },
}

impl Node {
    /// Starts a daemon and blocks the thread until the daemon listens.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not start in time.
    pub fn start(settings: &Settings, launch: &Launch, doors: Option<Proxies>) -> io::Result<Self> {
        let (addresses, host) = match launch {
            Launch::Program(program) => start_process(settings, program)?,
            Launch::InProcess => start_runtime(settings)?,
        };
        if let Some(proxies) = &doors {
            proxies.requests.set_target(addresses.requests);
            proxies.control.set_target(addresses.control);
        }
        Ok(Self {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            addresses,
            doors,
            host,
        })
    }

    /// Returns the daemon's entry in the platform's list of VMs.
    #[must_use]
    pub fn vm(&self) -> Vm {
        Vm {
            name: self.name.clone(),
            data_centre: self.data_centre.clone(),
            state: VmState::Live,
            control: self.control(),
        }
    }

    /// Returns the address at which other daemons reach the daemon's control port.
    #[must_use]
    pub fn control(&self) -> SocketAddr {
        let proxied = self.doors.as_ref().map(|proxies| proxies.control.address());
        proxied.unwrap_or(self.addresses.control)
    }

    /// Returns the process id of a daemon that runs as a child process.
    #[must_use]
    pub fn process_id(&self) -> Option<u32> {
        match &self.host {
            Host::Process(child) => Some(child.id()),
            Host::Runtime { .. } => None,
        }
    }

    /// Kills the daemon without a graceful shutdown.
    pub fn kill(&mut self) {
        match &mut self.host {
            Host::Process(child) => {
                // The process may have exited already.
                let _ = child.kill();
                let _ = child.wait();
            }
            Host::Runtime { runtime, .. } => {
                if let Some(runtime) = runtime.take() {
                    runtime.shutdown_background();
                }
            }
        }
    }

    /// Asks the daemon for a graceful shutdown, as the platform does before it removes a VM.
    pub fn terminate(&mut self) {
        match &mut self.host {
            Host::Process(child) => signal(child, Signal::TERM),
            Host::Runtime { stop, .. } => {
                if let Some(stop) = stop.take() {
                    // Fails only if the daemon has ended already.
                    let _ = stop.send(());
                }
            }
        }
    }

    /// Blocks the thread until the daemon has ended; returns whether it shut down without failure.
    pub fn wait(&mut self) -> bool {
        match &mut self.host {
            Host::Process(child) => child.wait().is_ok_and(|status| status.success()),
            Host::Runtime { stopped, .. } => {
                let stopped = stopped.get_mut().unwrap_or_else(PoisonError::into_inner);
                stopped.recv().is_ok()
            }
        }
    }

    /// Pauses the daemon's process with `SIGSTOP`.
    ///
    /// # Panics
    ///
    /// Panics if the daemon runs in this process.
    pub fn pause(&self) {
        signal(self.child(), Signal::STOP);
    }

    /// Resumes the daemon's process with `SIGCONT`.
    ///
    /// # Panics
    ///
    /// Panics if the daemon runs in this process.
    pub fn resume(&self) {
        signal(self.child(), Signal::CONT);
    }

    fn child(&self) -> &Child {
        match &self.host {
            Host::Process(child) => child,
            Host::Runtime { .. } => {
                panic!("a daemon that runs in this process cannot be paused or resumed")
            }
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
        // The process may have exited already.
        let _ = kill_process(id, signal);
    }
}

fn start_process(settings: &Settings, program: &PathBuf) -> io::Result<(Listening, Host)> {
    let text = serde_norway::to_string(settings).map_err(io::Error::other)?;
    let folder = std::env::temp_dir().join(format!("copperwell-rig-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    // Several clusters in one process may use the same daemon names.
    let number = NEXT_FILE_NUMBER.fetch_add(1, Ordering::Relaxed);
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
        .ok_or_else(|| io::Error::other("the standard error of the daemon is not captured"))?;
    let (addresses_sender, addresses_receiver) = mpsc::channel();
    let name = settings.name.clone();
    let echo = std::env::var_os("COPPERWELL_RIG_LOG").is_some();
    thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            if echo {
                eprintln!("{name}: {line}");
            }
            if let Some(addresses) = addresses_in(&line) {
                // Only the first message is read; later ones may find the receiver dropped.
                let _ = addresses_sender.send(addresses);
            }
        }
    });
    let host = Host::Process(child);
    match addresses_receiver.recv_timeout(START_TIMEOUT) {
        Ok(addresses) => Ok((addresses, host)),
        Err(_) => Err(io::Error::other(format!(
            "daemon `{}` did not report its listen addresses",
            settings.name
        ))),
    }
}

/// Parses the log line in which a daemon reports its listen addresses; `None` for other lines.
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

fn start_runtime(settings: &Settings) -> io::Result<(Listening, Host)> {
    let mut builder = Builder::new_multi_thread();
    builder
        .worker_threads(settings.workers.unwrap_or(2))
        .enable_all();
    let runtime = builder.build()?;
    let (stop, stopping) = tokio::sync::oneshot::channel::<()>();
    let (done, stopped) = mpsc::channel();
    let (addresses_sender, addresses_receiver) = mpsc::channel();
    let settings = settings.clone();
    runtime.spawn(async move {
        let daemon = match Daemon::start(settings).await {
            Ok(daemon) => daemon,
            Err(report) => {
                let _ = addresses_sender.send(Err(io::Error::other(format!("{report:?}"))));
                return;
            }
        };
        let _ = addresses_sender.send(Ok(daemon.listening()));
        if stopping.await.is_ok() {
            daemon.stop().await;
            let _ = done.send(());
        }
    });
    let addresses = addresses_receiver
        .recv_timeout(START_TIMEOUT)
        .map_err(io::Error::other)??;
    let host = Host::Runtime {
        runtime: Some(runtime),
        stop: Some(stop),
        stopped: Mutex::new(stopped),
    };
    Ok((addresses, host))
}
