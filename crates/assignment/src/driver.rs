//! Follows the leader, or leads.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use crate::{
    DaemonName,
    clock::Clock,
    demand::{Counts, Report},
    election,
    exchange::{Call, Desk, Line, Standing},
    lease::{self, Lapse, LeaderEntry, Observer},
    machine,
    metrics::Metrics,
    news::{Board, ListNumber, News},
    order::Command,
    plan::Plan,
    register::{Failure, Register, Snapshot},
    table::{Directory, Table, Tables, Version},
};
use copperwell_policy::backoff::Backoff;
use copperwell_routing::{ServiceName, quarantine::Quarantine, registry::Upstream};
use rand::RngExt;
use spdlog::{info, warn};
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

use leading::Leading;

mod leading;

/// The entry that says who leads.
const LEAD: &str = "lead";

/// The start of the entries that hold plans; the service's name follows.
const PLAN: &str = "plan.";

/// How long a daemon waits before it reads the store again.
const PAUSE: Duration = Duration::from_millis(300);

/// How long it waits at most once the store has not answered several times.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// What the daemon knows of services and their upstreams.
pub trait Scene: Send + Sync + 'static {
    /// The services that are divided by key; `None` while no configuration is known.
    fn keyed_services(&self) -> Option<Vec<ServiceName>>;

    /// The upstreams of a service, those that are draining included.
    fn upstreams(&self, service: &str) -> Vec<Arc<Upstream>>;

    /// The upstreams of all services.
    fn all_upstreams(&self) -> Vec<Arc<Upstream>>;

    /// When the reading of the newest list of upstreams began, by the boot clock; `None` before
    /// the first one.
    fn listed_at(&self) -> Option<Duration>;

    /// What this daemon has of what the store publishes.
    fn has(&self) -> (u64, ListNumber);

    /// Hears what the leader has read of the store.
    fn hear(&self, news: News);
}

/// Who this daemon is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Its name.
    pub name: DaemonName,
    /// Its run, which differs from those before.
    pub run: u64,
    /// Where it takes reports.
    pub address: SocketAddr,
    /// Its share of a processor, in thousandths.
    pub strength: u32,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
}

/// Time limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Timing {
    /// Of leadership.
    pub lease: lease::Timing,
    /// Of grants.
    pub grants: machine::Timing,
}

/// What the driver shares with the rest of the daemon.
#[derive(Debug, Clone)]
pub struct Shared {
    /// The tables by which requests are routed.
    pub directory: Arc<Directory>,
    /// What callers asked for.
    pub counts: Arc<Counts>,
    /// How many daemons there are, as far as is known; 0 if it is not.
    pub daemons: Arc<AtomicU32>,
    /// What this daemon has read of the store, for others.
    pub board: Arc<Board>,
    /// Requests that crash upstreams.
    pub quarantine: Arc<Mutex<Quarantine>>,
    /// Whether this daemon has looked for a leader: it follows one, or must read the store itself.
    pub looked: Arc<watch::Sender<bool>>,
    /// Whether this daemon would lead, and has not read the list of upstreams itself yet.
    pub lacks_list: Arc<AtomicBool>,
}

impl Shared {
    /// What a daemon in its run `run` shares.
    #[must_use]
    pub fn new(run: u64) -> Self {
        Self {
            directory: Arc::default(),
            counts: Arc::default(),
            daemons: Arc::default(),
            board: Arc::new(Board::new(run)),
            quarantine: Arc::default(),
            looked: Arc::new(watch::Sender::new(false)),
            lacks_list: Arc::default(),
        }
    }

    /// The requests that crash upstreams.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until this daemon has looked for a leader, or hears from one.
    pub async fn has_looked(&self) {
        // The sender is this one, so it does not go away.
        let _ = self.looked.subscribe().wait_for(|looked| *looked).await;
    }
}

/// Follows the leader, or leads.
#[derive(Debug)]
pub struct Driver<R, C, K, S> {
    /// Who this daemon is.
    pub identity: Identity,
    /// Time limits.
    pub timing: Timing,
    /// The entries by which daemons agree.
    pub register: Arc<R>,
    /// Gives orders.
    pub command: Arc<C>,
    /// The boot clock.
    pub clock: K,
    /// What is known of upstreams.
    pub scene: Arc<S>,
    /// What is shared with the rest of the daemon.
    pub shared: Shared,
    /// The leader's end of the exchange.
    pub desk: Desk,
    /// Counters.
    pub metrics: Metrics,
}

impl<R: Register, C: Command, K: Clock, S: Scene> Driver<R, C, K, S> {
    /// Runs until `stopping`, then hands leadership over.
    ///
    /// `reports` are those that other daemons give to this one.
    pub async fn run(self, mut reports: mpsc::Receiver<Vec<Report>>, stopping: CancellationToken) {
        let stop = stopping.clone();
        tokio::select! {
            () = self.work(&mut reports, &stopping) => {}
            () = async { stop.cancelled().await; sleep(self.timing.lease.renew_interval).await } => {}
        }
        self.desk.set_standing(Standing::Follows);
    }

    async fn work(&self, reports: &mut mpsc::Receiver<Vec<Report>>, stopping: &CancellationToken) {
        let mut watch = Observer::default();
        let mut failures = 0;
        let mut lead: Option<LeaderEntry> = None;
        let mut heirs: Vec<DaemonName> = Vec::new();
        sleep(self.first_wait()).await;
        while !stopping.is_cancelled() {
            match self.register.read().await {
                Ok(snapshot) => {
                    let is_back = std::mem::take(&mut failures) > 0;
                    lead = self.see(&snapshot, &mut watch);
                    if lead.is_none() {
                        self.shared.looked.send_replace(true);
                    }
                    // A leader that only waited for the store knows more than any successor.
                    if !is_back
                        && let Some(term) = self.take_over(&snapshot, lead.as_ref(), &watch).await
                    {
                        let before = lead.take();
                        let grants_end = before.as_ref().and_then(|lead| watch.grants_end(lead));
                        self.tell(before, self.lead(term.number, 0, 0, false));
                        let leading = Leading::new(self, term, &snapshot, grants_end);
                        leading.run(reports, stopping).await;
                        // One that gave way lets the others try first.
                        lead = self.desk.successor();
                        heirs = self.desk.heirs();
                    }
                }
                Err(failure) => {
                    warn!("the store does not answer", kv: { dependency = "store", failure = failure.as_str() });
                    failures += 1;
                    self.shared.looked.send_replace(true);
                }
            }
            // The last leader that is known may know of a later one.
            while let Some(known) = &lead {
                match self.follow(known, &mut heirs, stopping).await {
                    Followed::Lost => break,
                    Followed::Lapsed(lapse) => {
                        watch.record_lapse(lapse, self.clock.now());
                        break;
                    }
                    Followed::Succeeded(later) => lead = Some(later),
                }
            }
            self.shared.looked.send_replace(true);
            let rank = heirs.iter().position(|heir| *heir == self.identity.name);
            let daemons = self.shared.daemons.load(Ordering::Relaxed);
            let jitter = election::max_jitter(rank, &heirs, daemons);
            let jitter = jitter.mul_f64(rand::rng().random_range(0.0..1.0));
            let pause = Backoff::new(PAUSE, PAUSE_MAX).bound(failures + 1);
            tokio::select! {
                () = sleep(pause + election::candidate_delay(rank, &heirs) + jitter) => {}
                () = stopping.cancelled() => {}
            }
        }
    }

    fn first_wait(&self) -> Duration {
        let strength = self.identity.strength;
        if self.identity.is_first_start {
            return election::first_startup_delay(strength, rand::rng().random_range(0.0..1.0));
        }
        // Whoever starts again serves callers at once, whether or not somebody leads.
        self.shared.looked.send_replace(true);
        election::startup_delay(strength)
    }

    /// Takes what the store says of leader and plans.
    fn see(&self, snapshot: &Snapshot, watch: &mut Observer) -> Option<LeaderEntry> {
        let lead: Option<LeaderEntry> = decode(snapshot, LEAD);
        watch.observe(lead.as_ref(), self.clock.now());
        if let Some(lead) = &lead {
            // A plan is what the leader means to be; its own tables are better while it answers.
            let version = Version {
                term: lead.term,
                number: lead.number,
            };
            let plans = snapshot.entries.keys().filter_map(|key| {
                let service = key.strip_prefix(PLAN)?;
                let plan: Plan = decode(snapshot, key)?;
                Some((ServiceName::from(service), Table::of(&plan)))
            });
            let services = plans.collect();
            self.shared.directory.take(Tables { version, services });
        }
        lead
    }

    /// Becomes the leader if it is time; gives the new term and position.
    async fn take_over(
        &self,
        snapshot: &Snapshot,
        lead: Option<&LeaderEntry>,
        watch: &Observer,
    ) -> Option<Term> {
        let services = self.scene.keyed_services()?;
        let lacks_list = self.scene.listed_at().is_none();
        self.shared.lacks_list.store(lacks_list, Ordering::Relaxed);
        if lacks_list {
            return None;
        }
        let me = &self.identity;
        let timing = &self.timing.lease;
        let now = self.clock.now();
        if services.is_empty() || !watch.may_take_over(lead, &me.name, me.address, now, timing) {
            return None;
        }
        let term = snapshot.end + 1;
        let entry = self.lead(term, 0, 0, false);
        let swapped = self
            .register
            .swap(snapshot.end, &[encode(LEAD, &entry)])
            .await;
        self.metrics.swapped(outcome_of(&swapped));
        match swapped {
            Ok(end) => {
                info!("leads now", kv: { event = "lead", term, from = lead.map_or("nobody", |lead| &*lead.name) });
                Some(Term {
                    number: term,
                    end,
                    began: now,
                })
            }
            Err(failure) => {
                info!("does not lead", kv: { event = "lead-lost", term, failure = failure.as_str() });
                None
            }
        }
    }

    fn lead(&self, term: u64, beat: u64, number: u64, is_over: bool) -> LeaderEntry {
        LeaderEntry {
            name: self.identity.name.clone(),
            run: self.identity.run,
            address: self.identity.address,
            term,
            beat,
            number,
            is_over,
            grants_end: Duration::ZERO,
        }
    }

    /// Tells the leader before that this daemon leads; it may be cut off from the store.
    fn tell(&self, before: Option<LeaderEntry>, lead: LeaderEntry) {
        let Some(before) = before.filter(|before| !before.is_over) else {
            return;
        };
        tokio::spawn(async move {
            if let Some(line) = Line::open(before.address).await {
                line.succeed(lead).await;
            }
        });
    }

    /// Exchanges with the leader until it does not answer any more, or does not lead.
    async fn follow(
        &self,
        lead: &LeaderEntry,
        heirs: &mut Vec<DaemonName>,
        stopping: &CancellationToken,
    ) -> Followed {
        if lead.is_over || lead.address == self.identity.address {
            return Followed::Lost;
        }
        let Some(line) = Line::open(lead.address).await else {
            return Followed::Lost;
        };
        let mut knows = self.shared.directory.tables().version;
        while !stopping.is_cancelled() {
            let (configuration, list) = self.scene.has();
            let now = self.clock.now();
            let listed_at = self.scene.listed_at();
            let sightings = self.shared.quarantine().take_untold();
            let call = Call {
                from: self.identity.name.clone(),
                strength: self.identity.strength,
                knows,
                base: self.shared.directory.base(),
                configuration,
                list,
                store_age: listed_at.map(|at| now.saturating_sub(at)),
                reports: self.shared.counts.take(),
                sightings: sightings.clone(),
            };
            let Some(answer) = line.call(call).await else {
                self.shared.quarantine().put_back(sightings);
                warn!("the leader does not answer", kv: { dependency = "leader", leader = &*lead.name, term = lead.term });
                return Followed::Lost;
            };
            let daemons = &self.shared.daemons;
            daemons.store(answer.daemons, Ordering::Relaxed);
            if answer.standing == Standing::Leads {
                *heirs = answer.heirs;
            }
            self.shared
                .quarantine()
                .adopt(&answer.refused, Instant::now());
            if let Some(update) = answer.tables {
                self.shared.directory.apply(update);
            }
            if let Some(later) = answer.successor.filter(|later| later.term > lead.term) {
                return Followed::Succeeded(later);
            }
            match answer.standing {
                Standing::Leads => {}
                Standing::Follows => return Followed::Lost,
                Standing::Lapsed(lapse) => return Followed::Lapsed(lapse),
            }
            if let Some(news) = answer.news {
                self.scene.hear(news);
                self.shared.looked.send_replace(true);
            }
            knows = self.shared.directory.tables().version;
            // Changes in quick succession are told together.
            sleep(TOGETHER).await;
        }
        Followed::Lost
    }
}

/// How following a leader ended.
enum Followed {
    /// It does not answer, or does not lead.
    Lost,
    /// It says that its lease has lapsed.
    Lapsed(Lapse),
    /// It knows of a later leader.
    Succeeded(LeaderEntry),
}

/// How long a daemon waits after an answer before it asks for more.
const TOGETHER: Duration = Duration::from_millis(20);

/// A leadership that the store acknowledged.
#[derive(Debug, Clone, Copy)]
struct Term {
    number: u64,
    /// The position after its first entry.
    end: u64,
    /// When that entry was sent.
    began: Duration,
}

fn outcome_of(swapped: &Result<u64, Failure>) -> &'static str {
    match swapped {
        Ok(_) => "done",
        Err(failure) => failure.as_str(),
    }
}

fn encode(key: impl Into<String>, value: &impl serde::Serialize) -> (String, Vec<u8>) {
    (key.into(), bincode::serialize(value).unwrap_or_default())
}

fn decode<T: serde::de::DeserializeOwned>(snapshot: &Snapshot, key: &str) -> Option<T> {
    let value = snapshot.entries.get(key)?;
    let decoded = bincode::deserialize(value);
    if let Err(error) = &decoded {
        warn!("an entry of the store cannot be read", kv: { event = "entry-unreadable", key, error:? = error });
    }
    decoded.ok()
}
