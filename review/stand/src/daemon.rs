//! The project's daemons, as processes with the command of the deploy file.

use std::{
    fs,
    net::{IpAddr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use crate::names::{fill, n};

pub struct Daemon {
    pub name: String,
    pub ip: IpAddr,
    pub child: Child,
}

/// Starts `count` daemons in a temporary folder, each at a loopback address of its own.
pub fn start(count: usize, zones: &[&str], store: SocketAddr, folder: &Path) -> Vec<Daemon> {
    let process = std::process::id();
    let network = (1..=200_u32).find(|offset| {
        let ip = format!(
            "127.{}.{}.1",
            64 + (process + offset) % 64,
            process % 251 + 1
        );
        [8381, 8382, 8388, 7200, 7201, 9464]
            .iter()
            .all(|port| TcpListener::bind(format!("{ip}:{port}")).is_ok())
    });
    let offset = network.expect("no free address");
    (0..count)
        .map(|number| {
            let name = format!("front-{number}");
            let high = 64 + (process + offset) % 64;
            let ip = format!("127.{high}.{}.{}", process % 251 + 1, number + 1);
            let zone = zones[number % zones.len()];
            let store = store.to_string();
            let values = [
                ("name", &*name),
                ("ip", &ip),
                ("zone", zone),
                ("store", &store),
            ];
            let file: PathBuf = folder.join(format!("{name}.conf"));
            fs::write(
                &file,
                fill(include_str!("../data/settings.txt"), &values) + "\n",
            )
            .unwrap();
            let log = fs::File::create(folder.join(format!("{name}.log"))).unwrap();
            let child = Command::new("target/release/copperwelld")
                .args(["gateway", "--metrics-port", "9464"])
                .env(n("file-variable"), &file)
                .stdout(log)
                .stderr(Stdio::null())
                .spawn()
                .expect("the daemon is not built");
            Daemon {
                name,
                ip: ip.parse().unwrap(),
                child,
            }
        })
        .collect()
}

impl Daemon {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8381)
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([name, &id]).status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "no signal was sent"
        );
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
