//! Routing of requests from ingress to leaders.

use std::sync::Arc;

use arc_swap::ArcSwap;
use copperwell_backend::Forward;
use copperwell_caller::Network;
use copperwell_dispatch::Engine;
use copperwell_keyspace::{
    HashMap, Member, ServiceName, ShardIndex, manifest::Service, replay::State,
};
use copperwell_message::{Request, Response, Serve};
use copperwell_peer::{link::Links, members::Roster};
use tokio::sync::watch;

/// Looks up services and leaders in the replicated state, and sends requests to leaders.
pub(crate) struct Router<F> {
    me: Member,
    engine: Arc<Engine<F>>,
    links: Links,
    roster: watch::Receiver<Arc<Roster>>,
    index: ArcSwap<Index>,
}

/// The replicated state, indexed for look-ups by request.
#[derive(Debug, Default)]
struct Index {
    services: HashMap<ServiceName, Arc<Service>>,
    state: Arc<State>,
}

impl<F: Forward> Router<F> {
    pub(crate) fn new(
        me: Member,
        engine: Arc<Engine<F>>,
        links: Links,
        roster: watch::Receiver<Arc<Roster>>,
    ) -> Self {
        Self {
            me,
            engine,
            links,
            roster,
            index: ArcSwap::default(),
        }
    }

    /// Replaces the replicated state.
    pub(crate) fn set_state(&self, state: Arc<State>) {
        let services = state
            .manifest
            .iter()
            .flat_map(|manifest| &manifest.services);
        let services = services
            .map(|service| (service.name.clone(), Arc::new(service.clone())))
            .collect();
        self.index.store(Arc::new(Index { services, state }));
    }
}

impl<F: Forward> Network for Router<F> {
    fn service(&self, name: &str) -> Option<Arc<Service>> {
        self.index.load().services.get(name).cloned()
    }

    fn leaders(&self, service: &str, shard: ShardIndex) -> Vec<Member> {
        let index = self.index.load();
        let owner = index.state.owner_of(service, shard);
        let Some(appointment) = owner.and_then(|group| index.state.groups.get(group)) else {
            return Vec::new();
        };
        std::iter::once(&appointment.leader)
            .chain(&appointment.standby)
            .cloned()
            .collect()
    }

    async fn send(&self, to: &Member, request: Request) -> Response {
        if to.is_same_run(&self.me) {
            return self.engine.serve(request).await;
        }
        self.links.send(to.requests, request).await
    }

    fn ingress_count(&self) -> usize {
        self.roster.borrow().live().len()
    }

    fn relays(&self, to: &Member) -> Vec<Member> {
        let roster = self.roster.borrow();
        roster.relays(&self.me, to).into_iter().cloned().collect()
    }

    async fn send_via(&self, relay: &Member, to: &Member, request: Request) -> Response {
        self.links
            .send_via(relay.requests, to.requests, request)
            .await
    }
}
