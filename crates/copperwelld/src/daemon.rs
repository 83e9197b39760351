//! The lifecycle of an entry daemon.

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
    members::MemberRelay,
};
use error_stack::{Report, ResultExt};
use spdlog::info;
use tokio::{sync::mpsc, task::JoinHandle, time::timeout};
use tokio_util::sync::CancellationToken;

/// The capacity of the queue of records to append.
const RECORD_QUEUE_LEN: usize = 1024;

/// A running daemon.
pub struct Daemon {
    core: Arc<Core<Servers, Pool>>,
    listening: Listening,
    client: Client,
    stop_time: Duration,
    /// Stops ingress and request streams, which complete their in-flight requests.
    serving: CancellationToken,
    /// Stops all other tasks.
    running: CancellationToken,
    servers: Vec<JoinHandle<()>>,
    _follower: Follower,
}

/// The addresses that a daemon listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listening {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// Request streams from other daemons.
    pub requests: SocketAddr,
    /// Control calls from other daemons.
    pub control: SocketAddr,
    /// Metrics, health checks and status.
    pub admin: SocketAddr,
}

/// The error of a daemon that failed to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the daemon failed to start")
    }
}

impl std::error::Error for Error {}

/// Spawns the daemon's tasks, each of which ends with the daemon.
struct Tasks {
    serving: CancellationToken,
    running: CancellationToken,
}

impl Daemon {
    /// Starts a daemon, which serves once it has read the state from the log or from a peer.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the daemon cannot listen on an address.
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
        daemon.log_started();
        Ok(daemon)
    }

    /// Returns the daemon as a member of the cluster.
    #[must_use]
    pub fn member(&self) -> &Member {
        &self.core.me
    }

    /// Returns the addresses that the daemon listens on; other daemons may reach it at different
    /// ones.
    #[must_use]
    pub fn listening(&self) -> Listening {
        self.listening
    }

    /// Hands over the groups, completes in-flight requests, and stops.
    pub async fn stop(mut self) {
        stop::hand_over_all(&self.core, &self.client).await;
        // Announced after the hand-over: a daemon that learns of it may be appointed at once,
        // without the keys that were to be handed over.
        self.core.members.leave();
        self.core.engine.stop();
        self.serving.cancel();
        let servers = std::mem::take(&mut self.servers);
        let drained = futures::future::join_all(servers);
        // Requests still in flight after this timeout are aborted when the process exits.
        let _ = timeout(self.stop_time, drained).await;
        self.running.cancel();
    }

    fn log_started(&self) {
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
    /// Spawns the servers; returns the tasks of those that complete in-flight requests before they
    /// end.
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
            // The admin endpoint fails only if its listening socket fails.
            let _ = admin.await;
        });
        let peering = &parts.peering;
        let member_relay = MemberRelay::new(peering.links.clone(), peering.members.roster());
        let serving = self.serving.clone();
        let engine = core.engine.clone();
        let requests =
            link::serve_with_relay(listeners.requests, engine, member_relay, serving.clone());
        let limits = limits(settings);
        let callers = server::serve(listeners.callers, parts.ingress.clone(), limits, serving);
        let callers = async move {
            // Ingress fails only if its listening socket fails.
            let _ = callers.await;
        };
        vec![self.spawn(requests), self.spawn(callers)]
    }

    /// Spawns the tasks that watch for changes and propagate them; returns the log follower, which
    /// runs on its own.
    fn watch(&self, parts: Parts) -> Follower {
        let core = parts.core;
        let client = parts.peering.client;
        let members = parts.peering.members;
        let membership_running = self.running.clone();
        let (record_tx, record_rx) = mpsc::channel(RECORD_QUEUE_LEN);
        self.spawn(async move { members.run(membership_running).await });
        self.spawn(watch::states(core.clone(), parts.pool));
        self.spawn(watch::members(core.clone()));
        self.spawn(watch::vms(core.clone(), parts.platform.vms));
        self.spawn(watch::events(parts.events, record_tx));
        self.spawn(watch::load(core.clone()));
        self.spawn(watch::contact(core.clone()));
        self.spawn(watch::quarantine(core.clone(), client.clone()));
        self.spawn(watch::observations(core.clone(), parts.observations));
        self.spawn(confirm::run(core.clone(), client, parts.platform.log));
        self.spawn(appointer::run(core, parts.appender, record_rx));
        parts.platform.follower
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
