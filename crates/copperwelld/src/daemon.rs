//! Starts a daemon and stops it again.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    admin, appointer, confirm, core::Core, listeners::Listeners, parts::Parts, settings::Settings,
    stop, watch,
};
use copperwell_backend::{Client as Servers, Pool};
use copperwell_caller::server;
use copperwell_keyspace::Member;
use copperwell_log::follow::Follower;
use copperwell_peer::{
    control::{self, Client},
    link,
    members::Guard,
};
use error_stack::{Report, ResultExt};
use spdlog::info;
use tokio::{sync::mpsc, task::JoinHandle, time::timeout};
use tokio_util::sync::CancellationToken;

/// Records that may wait to be appended.
const RECORDS: usize = 1024;

/// A running daemon.
pub struct Daemon {
    core: Arc<Core<Servers, Pool>>,
    listening: Listening,
    client: Client,
    stop_time: Duration,
    /// Stops ingress and request streams, which finish what is in flight.
    serving: CancellationToken,
    /// Stops everything else.
    running: CancellationToken,
    servers: Vec<JoinHandle<()>>,
    _follower: Follower,
}

/// Where a daemon listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listening {
    /// For callers.
    pub callers: SocketAddr,
    /// For request streams.
    pub requests: SocketAddr,
    /// For control calls.
    pub control: SocketAddr,
    /// For metrics, health and status.
    pub admin: SocketAddr,
}

/// A daemon that cannot start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the daemon cannot start")
    }
}

impl std::error::Error for Error {}

/// Starts the daemon's tasks, each of which ends when the daemon does.
struct Tasks {
    serving: CancellationToken,
    running: CancellationToken,
}

impl Daemon {
    /// Starts a daemon; it serves once it has read the log or heard from a peer.
    ///
    /// # Errors
    ///
    /// [`Error`] if an address cannot be listened on.
    pub async fn start(settings: Settings) -> Result<Self, Report<Error>> {
        let listeners = Listeners::bind(&settings).await?;
        let listening = listeners.listening().change_context(Error)?;
        let me = listeners.member(&settings).change_context(Error)?;
        let parts = Parts::new(&me, &settings);
        let tasks = Tasks {
            serving: CancellationToken::new(),
            running: CancellationToken::new(),
        };
        let core = parts.core.clone();
        let client = parts.peering.client.clone();
        let servers = tasks.serve(listeners, &parts, &settings);
        let follower = tasks.watch(parts);
        let daemon = Self {
            core,
            listening,
            client,
            stop_time: settings.stop_time,
            serving: tasks.serving,
            running: tasks.running,
            servers,
            _follower: follower,
        };
        daemon.announce();
        Ok(daemon)
    }

    /// This daemon as a member.
    #[must_use]
    pub fn member(&self) -> &Member {
        &self.core.me
    }

    /// Where the daemon listens, which others may reach by other addresses.
    #[must_use]
    pub fn listening(&self) -> Listening {
        self.listening
    }

    /// Hands groups over, finishes what is in flight, and stops.
    pub async fn stop(mut self) {
        stop::hand_over_all(&self.core, &self.client).await;
        // Only now: whoever hears of it may be appointed at once, without the keys handed over.
        self.core.members.leave();
        self.core.engine.stop();
        self.serving.cancel();
        let servers = std::mem::take(&mut self.servers);
        let finished = futures::future::join_all(servers);
        // What is still in flight after this time is cut off when the process ends.
        let _ = timeout(self.stop_time, finished).await;
        self.running.cancel();
    }

    fn announce(&self) {
        let name = self.core.me.name.to_string();
        let Listening {
            callers,
            requests,
            control,
            admin,
        } = self.listening;
        info!("serving", kv: { name, callers:, requests:, control:, admin: });
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.serving.cancel();
        self.running.cancel();
    }
}

impl Tasks {
    /// Starts the servers; gives those that finish what is in flight before they end.
    fn serve(
        &self,
        listeners: Listeners,
        parts: &Parts,
        settings: &Settings,
    ) -> Vec<JoinHandle<()>> {
        let core = &parts.core;
        let running = self.running.clone();
        self.spawn(control::serve(
            listeners.control,
            core.clone(),
            parts.peering.refusals.clone(),
            running.clone(),
        ));
        let admin = admin::serve(
            listeners.admin,
            core.clone(),
            parts.registry.clone(),
            running,
        );
        self.spawn(async move {
            // The admin endpoint ends with its listening socket only.
            let _ = admin.await;
        });
        let peering = &parts.peering;
        let guard = Guard::new(peering.links.clone(), peering.members.roster());
        let serving = self.serving.clone();
        let engine = core.engine.clone();
        let requests = link::serve_with_relay(listeners.requests, engine, guard, serving.clone());
        let limits = limits(settings);
        let callers = server::serve(listeners.callers, parts.ingress.clone(), limits, serving);
        let callers = async move {
            // It ends with an error only if its listening socket is lost.
            let _ = callers.await;
        };
        vec![self.spawn(requests), self.spawn(callers)]
    }

    /// Starts what waits for changes and passes them on; gives the follower, which runs by itself.
    fn watch(&self, parts: Parts) -> Follower {
        let core = parts.core;
        let client = parts.peering.client;
        let members = parts.peering.members;
        let probing = self.running.clone();
        let (records_to, records) = mpsc::channel(RECORDS);
        self.spawn(async move { members.run(probing).await });
        self.spawn(watch::states(core.clone(), parts.pool));
        self.spawn(watch::members(core.clone()));
        self.spawn(watch::vms(core.clone(), parts.reading.vms));
        self.spawn(watch::events(parts.events, records_to));
        self.spawn(watch::load(core.clone()));
        self.spawn(watch::contact(core.clone()));
        self.spawn(watch::quarantine(core.clone(), client.clone()));
        self.spawn(watch::observations(core.clone(), parts.observations));
        self.spawn(confirm::run(core.clone(), client, parts.reading.log));
        self.spawn(appointer::run(core, parts.appender, records));
        parts.reading.follower
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) -> JoinHandle<()> {
        let running = self.running.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = task => {}
                () = running.cancelled() => {}
            }
        })
    }
}

fn limits(settings: &Settings) -> server::Limits {
    let callers = &settings.callers;
    server::Limits {
        connections: callers.connections,
        head_time: callers.head_time,
        headers: callers.headers,
        head_bytes: callers.head_bytes,
    }
}
