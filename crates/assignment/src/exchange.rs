//! Between the daemon that leads and the others: what is asked for, and who serves it.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::{
    DaemonName,
    demand::Report,
    news::{Board, ListNumber, News},
    table::{Directory, Tables, Version},
};
use copperwell_message::HashMap;
use futures::StreamExt;
use serde::{Deserialize, Serialize};
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

/// Reports that may wait for the leader.
const REPORTS_MAX: usize = 1024;

/// What a daemon tells the leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Call {
    /// Who tells it.
    pub from: DaemonName,
    /// The tables that it has.
    pub knows: Version,
    /// The configuration that it has.
    pub configuration: u64,
    /// The list of upstreams that it has.
    pub list: ListNumber,
    /// What callers asked for since its last call.
    pub reports: Vec<Report>,
}

/// What the leader answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Answer {
    /// Whether the answering daemon leads; it may have stopped.
    pub leads: bool,
    /// How many daemons have called lately, the leader included.
    pub daemons: u32,
    /// The tables, if they are newer.
    pub tables: Option<Tables>,
    /// What the leader has read of the store.
    pub news: Option<News>,
}

#[tarpc::service]
trait Rpc {
    /// Tells what is asked for, and asks for newer tables.
    async fn exchange(call: Call) -> Answer;
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
    reports: mpsc::Sender<Vec<Report>>,
    leads: AtomicBool,
    present: Mutex<HashMap<DaemonName, Instant>>,
}

impl Desk {
    /// A desk that gives out the tables of `directory` and the news of `board`, and the end at which
    /// reports arrive.
    #[must_use]
    pub fn new(
        directory: Arc<Directory>,
        board: Arc<Board>,
    ) -> (Self, mpsc::Receiver<Vec<Report>>) {
        let (reports, received) = mpsc::channel(REPORTS_MAX);
        let shared = Shared {
            directory,
            board,
            reports,
            leads: false.into(),
            present: Mutex::default(),
        };
        let shared = Arc::new(shared);
        (Self { shared }, received)
    }

    /// Says whether this daemon leads.
    pub fn set_leads(&self, leads: bool) {
        let flag = &self.shared.leads;
        flag.store(leads, Ordering::Release);
    }

    /// How many daemons have called lately, this one included.
    #[must_use]
    pub fn daemons(&self) -> u32 {
        let now = Instant::now();
        let present = self.shared.present.lock();
        let mut present = present.unwrap_or_else(PoisonError::into_inner);
        present.retain(|_, at| now.saturating_duration_since(*at) < PRESENT);
        u32::try_from(present.len()).unwrap_or(u32::MAX) + 1
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

    fn note_present(&self, name: DaemonName) {
        let present = self.shared.present.lock();
        let mut present = present.unwrap_or_else(PoisonError::into_inner);
        present.insert(name, Instant::now());
    }

    fn leads(&self) -> bool {
        self.shared.leads.load(Ordering::Acquire)
    }
}

impl Rpc for Desk {
    async fn exchange(self, _: context::Context, call: Call) -> Answer {
        let shared = &self.shared;
        if self.leads() {
            self.note_present(call.from);
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
        let tables = shared.directory.tables();
        let is_newer = tables.version > call.knows;
        Answer {
            leads: self.leads(),
            daemons: self.daemons(),
            tables: is_newer.then(|| (*tables).clone()),
            news: shared.board.news(call.list),
        }
    }
}

/// A connection to the leader.
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

    /// Calls the leader; `None` if it does not answer.
    pub async fn call(&self, call: Call) -> Option<Answer> {
        let limit = WAIT + SLACK;
        let mut context = context::current();
        context.deadline = std::time::Instant::now() + limit;
        let answer = self.client.exchange(context, call);
        timeout(limit, answer).await.ok()?.ok()
    }
}
