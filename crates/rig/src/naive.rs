//! The naive router, the baseline that copperwell is measured against: a static hash over the
//! upstreams that pass health checks, without leases, epochs, queues or retries.
//!
//! Each router process runs its own health checks. A server owns a shard until it receives a
//! release, so shards with two owners show in the servers' record.

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

/// The interval between health checks, and the timeout of control calls to upstreams.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The lease of every grant, which never expires within a run.
const LEASE: Duration = Duration::from_secs(24 * 3600);

/// The epoch of every order; it never changes, so servers reject none as stale.
const EPOCH: u64 = 1;

/// One router process.
struct Router {
    services: HashMap<ServiceName, Arc<Service>>,
    live: RwLock<HashMap<ServiceName, Vec<Upstream>>>,
    pool: Pool,
    control: Client,
    member: Member,
    sequence: Arc<AtomicU64>,
}

/// Runs the naive router under a scenario, with the faults of upstreams only.
///
/// # Errors
///
/// Returns an error if the servers or the routers do not start, or if a fault cannot be injected.
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
    let proxies = start_proxies(&manifest, scenario.user.one_way_delay()).await?;
    for data_centre in &manifest.data_centres {
        let local = manifest_for(data_centre, &manifest, &proxies);
        for _ in 0..scenario.daemons {
            let router = Arc::new(Router::new(&local, sequence.clone()));
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
        resends: run::MAX_RESENDS,
    };
    let offers = schedule::offers(scenario, seed);
    let start = Instant::now();
    let applicable = scenario
        .faults
        .iter()
        .filter(|fault| is_upstream_fault(&fault.what));
    let faults = applicable.cloned().collect();
    let injection = tokio::spawn(faults::strike(cluster.clone(), faults, start));
    let results = load::run(offers, entries, caller).await;
    injection.await.map_err(io::Error::other)??;
    sleep(run::SETTLE_TIME).await;
    stop.cancel();
    let mut summary = measure::summary(&results, &record, &manifest, start);
    summary.scenario.clone_from(&scenario.name);
    summary.router = "naive".to_owned();
    summary.seed = seed;
    Ok(Outcome { summary, results })
}

/// Starts a proxy in front of each server that adds the network delay between data centres.
async fn start_proxies(
    manifest: &Manifest,
    one_way_delay: Duration,
) -> io::Result<HashMap<UpstreamName, Proxy>> {
    let mut proxies = HashMap::default();
    for upstream in manifest
        .services
        .iter()
        .flat_map(|service| &service.upstreams)
    {
        let proxy = Proxy::start(upstream.address).await?;
        proxy.delay(one_way_delay);
        proxies.insert(upstream.name.clone(), proxy);
    }
    Ok(proxies)
}

/// Returns the manifest with the addresses at which a data centre reaches the servers: a proxy for
/// each server in another data centre.
fn manifest_for(
    data_centre: &DataCentre,
    manifest: &Manifest,
    proxies: &HashMap<UpstreamName, Proxy>,
) -> Manifest {
    let mut local = manifest.clone();
    let upstreams = local.services.iter_mut();
    for upstream in upstreams.flat_map(|service| &mut service.upstreams) {
        if upstream.data_centre != data_centre.name {
            upstream.address = proxies[&upstream.name].address();
        }
    }
    local
}

fn is_upstream_fault(kind: &What) -> bool {
    matches!(
        kind,
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
        let unused = SocketAddr::from(([127, 0, 0, 1], 1));
        Self {
            services: services.collect(),
            live: RwLock::default(),
            pool: Pool::new(),
            control: Client::new(),
            member: Member {
                name: "naive".into(),
                incarnation: 1,
                data_centre: "any".into(),
                control: unused,
                requests: unused,
                admin: unused,
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
            stop.run_until_cancelled(self.run_health_checks()).await;
        });
        Ok(address)
    }

    async fn run_health_checks(&self) {
        loop {
            sleep(CHECK_INTERVAL).await;
            let previous = self.live().clone();
            self.check(&previous).await;
        }
    }

    /// Runs a health check on every upstream, then releases and grants the shards whose owner
    /// changed since `previous`.
    async fn check(&self, previous: &HashMap<ServiceName, Vec<Upstream>>) {
        for service in self.services.values() {
            let checks = join_all(
                service
                    .upstreams
                    .iter()
                    .map(|upstream| self.is_reachable(service, upstream)),
            );
            let reachable = checks.await;
            let live = service
                .upstreams
                .iter()
                .zip(reachable)
                .filter(|(_, is_reachable)| *is_reachable);
            let live: Vec<Upstream> = live.map(|(upstream, _)| upstream.clone()).collect();
            let old = previous.get(&service.name).cloned().unwrap_or_default();
            self.set_live(&service.name, live.clone());
            if live != old {
                self.reassign(service, &old, &live).await;
            }
        }
    }

    async fn is_reachable(&self, service: &Service, upstream: &Upstream) -> bool {
        let fence = Fence {
            group: group_of(service),
            epoch: EPOCH,
            leader: self.member.name.clone(),
        };
        let answer = timeout(CHECK_INTERVAL, self.control.fence(upstream.address, &fence)).await;
        matches!(answer, Ok(Ok(_)))
    }

    /// Releases shards at their old owners and grants them to their new ones.
    async fn reassign(&self, service: &Service, old: &[Upstream], live: &[Upstream]) {
        let mut released: HashMap<&UpstreamName, Vec<ShardIndex>> = HashMap::default();
        let mut granted: HashMap<&UpstreamName, Vec<ShardIndex>> = HashMap::default();
        for shard in 0..service.shards {
            let (from, to) = (owner_of(shard, old), owner_of(shard, live));
            if from.map(|owner| &owner.name) == to.map(|owner| &owner.name) {
                continue;
            }
            if let Some(from) = from {
                released.entry(&from.name).or_default().push(shard);
            }
            if let Some(to) = to {
                granted.entry(&to.name).or_default().push(shard);
            }
        }
        for upstream in &service.upstreams {
            if let Some(shards) = released.get(&upstream.name) {
                self.release(service, upstream, shards.clone()).await;
            }
        }
        for upstream in &service.upstreams {
            if let Some(shards) = granted.get(&upstream.name) {
                self.grant(service, upstream, shards.clone()).await;
            }
        }
    }

    async fn release(&self, service: &Service, upstream: &Upstream, shards: Vec<ShardIndex>) {
        let release = Release {
            group: group_of(service),
            epoch: EPOCH,
            sequence: self.next_sequence(),
            shards,
        };
        // A server that does not answer keeps its shards.
        let _ = timeout(
            CHECK_INTERVAL,
            self.control.release(upstream.address, &release),
        )
        .await;
    }

    async fn grant(&self, service: &Service, upstream: &Upstream, shards: Vec<ShardIndex>) {
        let fence = Fence {
            group: group_of(service),
            epoch: EPOCH,
            leader: self.member.name.clone(),
        };
        let Ok(Ok(fenced)) =
            timeout(CHECK_INTERVAL, self.control.fence(upstream.address, &fence)).await
        else {
            return;
        };
        let lease_ms = u64::try_from(LEASE.as_millis()).unwrap_or(u64::MAX);
        let grant = Give {
            group: group_of(service),
            epoch: EPOCH,
            sequence: self.next_sequence(),
            incarnation: fenced.incarnation,
            lease_ms,
            until_ms: fenced.clock_ms + lease_ms,
            shards,
        };
        let _ = timeout(CHECK_INTERVAL, self.control.give(upstream.address, &grant)).await;
    }

    fn set_live(&self, service: &ServiceName, live: Vec<Upstream>) {
        let mut all = self.live.write().unwrap_or_else(PoisonError::into_inner);
        all.insert(service.clone(), live);
    }

    fn next_sequence(&self) -> u64 {
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
        vec![self.member.clone()]
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
