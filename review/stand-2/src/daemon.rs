//! The project's daemons, as processes with the command of the deploy file.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::Path,
    process::{self, Child, Command, Stdio},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    http::Connection,
    names::{fill, n},
};

/// The ports that a daemon listens on.
const PORTS: [u16; 6] = [8381, 8382, 8388, 7200, 7201, 9464];

/// How long a daemon may take until it says that it is ready.
const START_TIME: Duration = Duration::from_secs(30);

/// A daemon, which is killed on drop.
pub struct Daemon {
    ip: String,
    child: Child,
}

impl Daemon {
    /// Returns the address for clients.
    pub fn front(&self) -> SocketAddr {
        self.address(8381)
    }

    fn address(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().unwrap()
    }

    fn wait_ready(&self) {
        let started_at = Instant::now();
        let request = format!("GET {} HTTP/1.1\r\nhost: x\r\n\r\n", n("ready"));
        loop {
            let connection = Connection::open(self.address(8388));
            let answer = connection
                .and_then(|mut open| open.exchange(request.as_bytes(), Duration::from_secs(1)));
            if matches!(answer, Ok(Some(answer)) if answer.status() == 200) {
                return;
            }
            assert!(
                started_at.elapsed() < START_TIME,
                "a daemon does not get ready"
            );
            sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts `count` daemons, each at a loopback address of its own, and waits until they are ready.
pub fn start(count: usize, store: SocketAddr, folder: &Path) -> Vec<Daemon> {
    let network = free_network();
    let start_one = |number: usize| {
        let (name, ip) = (
            format!("front-{number}"),
            format!("{network}.{}", number + 1),
        );
        let store = store.to_string();
        let values = [
            ("name", &*name),
            ("ip", &ip),
            ("zone", "here"),
            ("store", &store),
        ];
        let settings = fill(include_str!("../data/settings.txt"), &values) + "\n";
        let file = folder.join(format!("{name}.conf"));
        fs::write(&file, settings).unwrap();
        let log = fs::File::create(folder.join(format!("{name}.log"))).unwrap();
        let child = Command::new("target/release/copperwelld")
            .args(["gateway", "--metrics-port", "9464"])
            .env(n("file-variable"), &file)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon is not built");
        Daemon { ip, child }
    };
    let daemons: Vec<Daemon> = (0..count).map(start_one).collect();
    for daemon in &daemons {
        daemon.wait_ready();
    }
    daemons
}

/// Returns the first three numbers of loopback addresses at which all ports are free.
fn free_network() -> String {
    let process = process::id();
    let networks =
        (1..=200_u32).map(|offset| format!("127.{}.{}", 64 + offset % 64, process % 251 + 1));
    let is_free = |network: &String| {
        let free = |port: &u16| TcpListener::bind(format!("{network}.1:{port}")).is_ok();
        PORTS.iter().all(free)
    };
    let mut free = networks.filter(is_free);
    free.next().expect("no free address")
}
