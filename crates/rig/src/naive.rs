//! The naive router that copperwell is measured against: a static hash over the upstreams that
//! answer, without leases, epochs, queues or retries.
//!
//! Each of its processes judges by itself which upstreams are alive. A server believes that it
//! owns a shard until somebody tells it otherwise, so its double owners show in the record.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, PoisonError, RwLock, RwLockReadGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::{
    cluster::{Cluster, Plan},
    faults,
    load::{self, Caller},
    measure,
    run::{self, Outcome},
    scenario::{Scenario, What},
    schedule,
};
use copperwell_backend::{
    Client, Control, Forward, Pool,
    order::{Fence, Give, Order, Release},
};
use copperwell_caller::{Ingress, Network, metrics::Metrics, server};
use copperwell_keyspace::{
    GroupId, HashMap, Member, ServiceName, ShardIndex, UpstreamName,
    manifest::{DataCentre, Manifest, Service, Upstream},
};
use copperwell_message::{Reason, Request, Response, Verdict};
use copperwell_standin::proxy::Proxy;
use futures::future::join_all;
use tokio::{
    net::TcpListener,
    sync::Mutex,
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

/// How often upstreams are looked at, and how long one may take to answer.
const CHECK: Duration = Duration::from_millis(500);

/// "For good", as a lease.
const FOR_GOOD: Duration = Duration::from_secs(24 * 3600);

/// The epoch of every order; nobody is fenced.
const EPOCH: u64 = 1;

/// One process of the naive router.
struct Router {
    services: HashMap<ServiceName, Arc<Service>>,
    live: RwLock<HashMap<ServiceName, Vec<Upstream>>>,
    pool: Pool,
    control: Client,
    me: Member,
    sequence: Arc<AtomicU64>,
}

/// Runs the naive router under a scenario; faults of daemons and of the log do not concern it.
///
/// # Errors
///
/// An error if something does not start.
pub async fn run(scenario: &Scenario, seed: u64) -> io::Result<Outcome> {
    let Plan {
        manifest,
        service_times,
        ..
    } = run::plan(scenario, crate::node::Launch::InProcess)?;
    let cluster = Cluster::start_servers(manifest, &service_times).await?;
    let record = cluster.record.clone();
    let manifest = cluster.manifest.clone();
    let stop = CancellationToken::new();
    let sequence = Arc::new(AtomicU64::new(1));
    let mut addresses = Vec::new();
    let ways = start_ways(&manifest, scenario.user.distance()).await?;
    for place in &manifest.data_centres {
        let seen = seen_from(place, &manifest, &ways);
        for _ in 0..scenario.daemons {
            let router = Arc::new(Router::new(&seen, sequence.clone()));
            router.check(&HashMap::default()).await;
            addresses.push(router.start(stop.clone()).await?);
        }
    }
    cluster.entries.set(addresses);
    cluster.wait_owned().await?;
    let entries = cluster.entries.clone();
    let cluster = Arc::new(Mutex::new(cluster));
    let caller = Caller {
        deadline: run::DEADLINE,
        resends: run::RESENDS,
    };
    let offers = schedule::offers(scenario, seed);
    let start = Instant::now();
    let concerned = scenario
        .faults
        .iter()
        .filter(|fault| is_of_upstream(&fault.what));
    let faults = concerned.cloned().collect();
    let striking = tokio::spawn(faults::strike(cluster.clone(), faults, start));
    let results = load::run(offers, entries, caller).await;
    striking.await.map_err(io::Error::other)??;
    sleep(run::SETTLE).await;
    stop.cancel();
    let mut summary = measure::summary(&results, &record, &manifest, start);
    summary.scenario.clone_from(&scenario.name);
    summary.router = "naive".to_owned();
    summary.seed = seed;
    Ok(Outcome { summary, results })
}

/// Starts a proxy before each server, which is as far away as another data centre.
async fn start_ways(
    manifest: &Manifest,
    distance: Duration,
) -> io::Result<HashMap<UpstreamName, Proxy>> {
    let mut ways = HashMap::default();
    for upstream in manifest.services.iter().flat_map(|held| &held.upstreams) {
        let way = Proxy::start(upstream.address).await?;
        way.delay(distance);
        ways.insert(upstream.name.clone(), way);
    }
    Ok(ways)
}

/// The manifest with the addresses by which a data centre reaches the servers.
fn seen_from(
    place: &DataCentre,
    manifest: &Manifest,
    ways: &HashMap<UpstreamName, Proxy>,
) -> Manifest {
    let mut seen = manifest.clone();
    let upstreams = seen.services.iter_mut();
    for upstream in upstreams.flat_map(|service| &mut service.upstreams) {
        if upstream.data_centre != place.name {
            upstream.address = ways[&upstream.name].address();
        }
    }
    seen
}

fn is_of_upstream(what: &What) -> bool {
    matches!(
        what,
        What::KillUpstream(_)
            | What::FreezeUpstream(_)
            | What::DrainUpstream(_)
            | What::ShedUpstream(_)
    )
}

impl Router {
    fn new(manifest: &Manifest, sequence: Arc<AtomicU64>) -> Self {
        let services = manifest.services.iter();
        let services = services.map(|service| (service.name.clone(), Arc::new(service.clone())));
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
        Self {
            services: services.collect(),
            live: RwLock::default(),
            pool: Pool::new(),
            control: Client::new(),
            me: Member {
                name: "naive".into(),
                incarnation: 1,
                data_centre: "any".into(),
                control: nowhere,
                requests: nowhere,
                admin: nowhere,
            },
            sequence,
        }
    }

    async fn start(self: Arc<Self>, stop: CancellationToken) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let ingress = Arc::new(Ingress::new(self.clone(), Metrics::default()));
        tokio::spawn(server::serve(
            listener,
            ingress,
            server::Limits::default(),
            stop.clone(),
        ));
        tokio::spawn(async move {
            stop.run_until_cancelled(self.check_forever()).await;
        });
        Ok(address)
    }

    async fn check_forever(&self) {
        loop {
            sleep(CHECK).await;
            let before = self.live().clone();
            self.check(&before).await;
        }
    }

    /// Finds out who answers, and tells servers what follows for their shards.
    async fn check(&self, before: &HashMap<ServiceName, Vec<Upstream>>) {
        for service in self.services.values() {
            let answers = join_all(
                service
                    .upstreams
                    .iter()
                    .map(|upstream| self.answers(service, upstream)),
            );
            let answers = answers.await;
            let live = service
                .upstreams
                .iter()
                .zip(answers)
                .filter(|(_, answers)| *answers);
            let live: Vec<Upstream> = live.map(|(upstream, _)| upstream.clone()).collect();
            let old = before.get(&service.name).cloned().unwrap_or_default();
            self.set_live(&service.name, live.clone());
            if live != old {
                self.tell(service, &old, &live).await;
            }
        }
    }

    async fn answers(&self, service: &Service, upstream: &Upstream) -> bool {
        let fence = Fence {
            group: group_of(service),
            epoch: EPOCH,
            leader: self.me.name.clone(),
        };
        let asked = timeout(CHECK, self.control.fence(upstream.address, &fence)).await;
        matches!(asked, Ok(Ok(_)))
    }

    async fn tell(&self, service: &Service, old: &[Upstream], live: &[Upstream]) {
        let mut lost: HashMap<&UpstreamName, Vec<ShardIndex>> = HashMap::default();
        let mut won: HashMap<&UpstreamName, Vec<ShardIndex>> = HashMap::default();
        for shard in 0..service.shards {
            let (from, to) = (owner_of(shard, old), owner_of(shard, live));
            if from.map(|owner| &owner.name) == to.map(|owner| &owner.name) {
                continue;
            }
            if let Some(from) = from {
                lost.entry(&from.name).or_default().push(shard);
            }
            if let Some(to) = to {
                won.entry(&to.name).or_default().push(shard);
            }
        }
        for upstream in &service.upstreams {
            if let Some(shards) = lost.get(&upstream.name) {
                self.release(service, upstream, shards.clone()).await;
            }
        }
        for upstream in &service.upstreams {
            if let Some(shards) = won.get(&upstream.name) {
                self.give(service, upstream, shards.clone()).await;
            }
        }
    }

    async fn release(&self, service: &Service, upstream: &Upstream, shards: Vec<ShardIndex>) {
        let release = Release {
            group: group_of(service),
            epoch: EPOCH,
            sequence: self.next(),
            shards,
        };
        // Whoever does not answer goes on as before.
        let _ = timeout(CHECK, self.control.release(upstream.address, &release)).await;
    }

    async fn give(&self, service: &Service, upstream: &Upstream, shards: Vec<ShardIndex>) {
        let fence = Fence {
            group: group_of(service),
            epoch: EPOCH,
            leader: self.me.name.clone(),
        };
        let Ok(Ok(fenced)) = timeout(CHECK, self.control.fence(upstream.address, &fence)).await
        else {
            return;
        };
        let lease_ms = u64::try_from(FOR_GOOD.as_millis()).unwrap_or(u64::MAX);
        let give = Give {
            group: group_of(service),
            epoch: EPOCH,
            sequence: self.next(),
            incarnation: fenced.incarnation,
            lease_ms,
            until_ms: fenced.clock_ms + lease_ms,
            shards,
        };
        let _ = timeout(CHECK, self.control.give(upstream.address, &give)).await;
    }

    fn set_live(&self, service: &ServiceName, live: Vec<Upstream>) {
        let mut all = self.live.write().unwrap_or_else(PoisonError::into_inner);
        all.insert(service.clone(), live);
    }

    fn next(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }

    fn live(&self) -> RwLockReadGuard<'_, HashMap<ServiceName, Vec<Upstream>>> {
        self.live.read().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Network for Router {
    fn service(&self, name: &str) -> Option<Arc<Service>> {
        self.services.get(name).cloned()
    }

    fn leaders(&self, _: &str, _: ShardIndex) -> Vec<Member> {
        vec![self.me.clone()]
    }

    async fn send(&self, _: &Member, request: Request) -> Response {
        let upstream = {
            let live = self.live();
            let live = live
                .get(&*request.head.service)
                .map_or(&[][..], Vec::as_slice);
            owner_of(request.head.shard, live).cloned()
        };
        let Some(upstream) = upstream else {
            return Response::refusal(Verdict::NotRun, Reason::Unowned);
        };
        let order = Order {
            epoch: EPOCH,
            deadline: request.head.deadline,
        };
        self.pool.forward(&upstream, order, request).await
    }
}

fn owner_of(shard: ShardIndex, live: &[Upstream]) -> Option<&Upstream> {
    live.get((shard as usize).checked_rem(live.len())?)
}

fn group_of(service: &Service) -> GroupId {
    GroupId {
        service: service.name.clone(),
        data_centre: "any".into(),
        part: 0,
    }
}
