//! Between the daemon that leads and the others: what is asked for, and who serves it.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::{
    DaemonName,
    demand::Report,
    driver,
    lease::{Lapse, LeaderEntry},
    news::{Board, ListNumber, News},
    table::{Directory, Version},
    update::Update,
};
use copperwell_message::HashMap;
use copperwell_routing::quarantine::{Quarantine, Refused, Sightings};
use futures::StreamExt;
use serde::{Deserialize, Serialize};
use spdlog::warn;
use tarpc::{
    client, context,
    serde_transport::tcp,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::{
    net::TcpListener,
    sync::mpsc,
    time::{Instant, timeout},
};

/// How long the leader waits for news before it answers without.
pub const WAIT: Duration = Duration::from_millis(400);

/// How long a call may take beyond that.
const SLACK: Duration = Duration::from_millis(600);

/// How long a new connection may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// The longest message, in bytes.
const FRAME_MAX: usize = 4 << 20;

/// How long a daemon counts after its last call.
const PRESENT: Duration = Duration::from_secs(3);

/// Daemons that are told to lead next.
pub(crate) const HEIRS: usize = 3;

/// Reports that may wait for the leader.
const REPORTS_MAX: usize = 1024;

/// What a daemon tells the leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Call {
    /// Who tells it.
    pub from: DaemonName,
    /// Its share of a processor, in thousandths.
    pub strength: u32,
    /// The tables that it has.
    pub knows: Version,
    /// The same, if a leader told them, so that what it changed since is enough.
    pub base: Option<Version>,
    /// The configuration that it has.
    pub configuration: u64,
    /// The list of upstreams that it has.
    pub list: ListNumber,
    /// How long ago it last read the store; `None` for never.
    pub store_age: Option<Duration>,
    /// What callers asked for since its last call.
    pub reports: Vec<Report>,
    /// What it has seen of requests that may crash upstreams.
    pub sightings: Sightings,
}

/// What a daemon is to the others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// It does not lead.
    #[default]
    Follows,
    /// It leads.
    Leads,
    /// It leads, but its lease has lapsed.
    Lapsed(Lapse),
}

/// What the leader answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Answer {
    /// What the answering daemon is; it may have stopped.
    pub standing: Standing,
    /// Who is to lead next, the first one first.
    pub heirs: Vec<DaemonName>,
    /// The leader after it, if that has told.
    pub successor: Option<LeaderEntry>,
    /// How many daemons have called lately, the leader included.
    pub daemons: u32,
    /// The tables, if they are newer.
    pub tables: Option<Update>,
    /// What the leader has read of the store.
    pub news: Option<News>,
    /// Requests that are refused, since they crash upstreams.
    pub refused: Vec<Refused>,
}

/// A daemon that has called.
#[derive(Debug, Clone, Copy)]
struct Presence {
    at: Instant,
    strength: u32,
}

#[tarpc::service]
trait Rpc {
    /// Tells what is asked for, and asks for newer tables.
    async fn exchange(call: Call) -> Answer;

    /// Tells a leader that another daemon has taken over, which it cannot see while it is cut off from
    /// the store; nor can those that are cut off with it, who ask it.
    async fn succeed(lead: LeaderEntry);
}

/// The leader's end, which exists whether or not this daemon leads.
#[derive(Debug, Clone)]
pub struct Desk {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    directory: Arc<Directory>,
    board: Arc<Board>,
    quarantine: Arc<Mutex<Quarantine>>,
    reports: mpsc::Sender<Vec<Report>>,
    known: Mutex<Known>,
}

/// What a daemon knows of itself and the others as leader.
#[derive(Debug, Default)]
struct Known {
    standing: Standing,
    /// The newest leader that told this daemon that it leads.
    successor: Option<LeaderEntry>,
    present: HashMap<DaemonName, Presence>,
    /// When another daemon last read the store.
    store_seen: Option<Instant>,
}

impl Desk {
    /// A desk that gives out what a daemon `knows`, and the end at which reports arrive.
    #[must_use]
    pub fn new(knows: &driver::Shared) -> (Self, mpsc::Receiver<Vec<Report>>) {
        let (reports, received) = mpsc::channel(REPORTS_MAX);
        let shared = Shared {
            directory: knows.directory.clone(),
            board: knows.board.clone(),
            quarantine: knows.quarantine.clone(),
            reports,
            known: Mutex::default(),
        };
        let shared = Arc::new(shared);
        (Self { shared }, received)
    }

    /// Says what this daemon is to the others.
    pub fn set_standing(&self, standing: Standing) {
        self.known().standing = standing;
    }

    /// The newest leader that told this daemon that it leads.
    #[must_use]
    pub fn successor(&self) -> Option<LeaderEntry> {
        self.known().successor.clone()
    }

    /// How many daemons have called lately, this one included.
    #[must_use]
    pub fn daemons(&self) -> u32 {
        u32::try_from(self.known().present().len()).unwrap_or(u32::MAX) + 1
    }

    /// The strength of the strongest daemon that has called lately.
    #[must_use]
    pub fn strongest(&self) -> u32 {
        let mut known = self.known();
        let strengths = known.present().values().map(|presence| presence.strength);
        strengths.max().unwrap_or(0)
    }

    /// The strongest daemons that have called lately, the first one first.
    #[must_use]
    pub fn heirs(&self) -> Vec<DaemonName> {
        let mut known = self.known();
        let mut ranked: Vec<(&DaemonName, u32)> = known
            .present()
            .iter()
            .map(|(name, presence)| (name, presence.strength))
            .collect();
        ranked.sort_by(|one, other| other.1.cmp(&one.1).then(one.0.cmp(other.0)));
        let heirs = ranked.into_iter().take(HEIRS);
        heirs.map(|(name, _)| name.clone()).collect()
    }

    /// Takes calls until the future is dropped.
    ///
    /// # Errors
    ///
    /// An error of the listening socket.
    pub async fn serve(self, listener: TcpListener) -> io::Result<()> {
        let mut incoming = tcp::listen_on(listener, Bincode::default).await?;
        incoming.config_mut().max_frame_length(FRAME_MAX);
        while let Some(connection) = incoming.next().await {
            let Ok(transport) = connection else { continue };
            let channel = BaseChannel::with_defaults(transport);
            let serving = channel.execute(self.clone().serve_rpc());
            tokio::spawn(serving.for_each(|answer| async move {
                tokio::spawn(answer);
            }));
        }
        Ok(())
    }

    fn serve_rpc(self) -> ServeRpc<Self> {
        Rpc::serve(self)
    }

    /// How long ago another daemon last read the store, as far as is known.
    #[must_use]
    pub fn store_age(&self) -> Option<Duration> {
        self.known().store_seen.map(|at| at.elapsed())
    }

    /// Notes what a daemon has seen of requests that may crash upstreams.
    fn sight(&self, sightings: Sightings) {
        for fingerprint in self.quarantine().merge(sightings, Instant::now()) {
            warn!("a request crashed several upstreams and is refused", kv: { event = "quarantined", fingerprint });
        }
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        let quarantine = self.shared.quarantine.lock();
        quarantine.unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a daemon has called.
    fn note(&self, call: &Call) {
        let now = Instant::now();
        let read_at = call.store_age.and_then(|age| now.checked_sub(age));
        let presence = Presence {
            at: now,
            strength: call.strength,
        };
        let mut known = self.known();
        known.present.insert(call.from.clone(), presence);
        known.store_seen = known.store_seen.max(read_at);
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        let known = self.shared.known.lock();
        known.unwrap_or_else(PoisonError::into_inner)
    }
}

impl Known {
    /// The daemons that have called lately.
    fn present(&mut self) -> &HashMap<DaemonName, Presence> {
        let now = Instant::now();
        self.present
            .retain(|_, presence| now.saturating_duration_since(presence.at) < PRESENT);
        &self.present
    }
}

impl Rpc for Desk {
    async fn exchange(self, _: context::Context, call: Call) -> Answer {
        let shared = &self.shared;
        if self.known().standing == Standing::Leads {
            self.note(&call);
            self.sight(call.sightings);
            if !call.reports.is_empty() {
                // A leader that cannot keep up does without some counts.
                let _ = shared.reports.try_send(call.reports);
            }
            let newer = async {
                tokio::select! {
                    () = shared.directory.newer_than(call.knows) => {}
                    () = shared.board.newer_than(call.configuration, call.list) => {}
                }
            };
            let _ = timeout(WAIT, newer).await;
        }
        // Taken by itself, so that the lock is free again for what follows.
        let standing = self.known().standing;
        Answer {
            standing,
            heirs: self.heirs(),
            successor: self.successor(),
            daemons: self.daemons(),
            tables: shared.directory.update(call.knows, call.base),
            news: shared.board.news(call.configuration, call.list),
            refused: self.quarantine().refused(Instant::now()),
        }
    }

    async fn succeed(self, _: context::Context, lead: LeaderEntry) {
        let mut known = self.known();
        let successor = &mut known.successor;
        if successor
            .as_ref()
            .is_none_or(|known| known.term < lead.term)
        {
            *successor = Some(lead);
        }
    }
}

/// A connection to another daemon, mostly the leader.
#[derive(Debug)]
pub struct Line {
    client: RpcClient,
}

impl Line {
    /// Opens a connection; `None` if the daemon cannot be reached.
    pub async fn open(to: SocketAddr) -> Option<Self> {
        let mut connect = tcp::connect(to, Bincode::default);
        connect.config_mut().max_frame_length(FRAME_MAX);
        let transport = timeout(CONNECT_LIMIT, connect).await.ok()?.ok()?;
        let client = RpcClient::new(client::Config::default(), transport).spawn();
        Some(Self { client })
    }

    /// Tells an earlier leader who leads now; `false` if it does not answer.
    pub async fn succeed(&self, lead: LeaderEntry) -> bool {
        let mut context = context::current();
        context.deadline = std::time::Instant::now() + SLACK;
        let told = timeout(SLACK, self.client.succeed(context, lead)).await;
        matches!(told, Ok(Ok(())))
    }

    /// Calls the leader; `None` if it does not answer.
    pub async fn call(&self, call: Call) -> Option<Answer> {
        let limit = WAIT + SLACK;
        let mut context = context::current();
        context.deadline = std::time::Instant::now() + limit;
        let answer = self.client.exchange(context, call);
        timeout(limit, answer).await.ok()?.ok()
    }
}
