//! What a daemon knows of the others from their calls, above all the leader.

use std::{cmp::Reverse, net::SocketAddr, time::Duration};

use super::{Request, Standing};
use crate::{
    DaemonName,
    lease::LeaderEntry,
    reach::{Helper, Keyed, Lost, Reports},
};
use copperwell_message::HashMap;
use rand::seq::IteratorRandom;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// How long after its last call a daemon counts as alive.
const PEER_TTL: Duration = Duration::from_secs(3);

/// The maximum number of candidates for the next leadership.
pub(crate) const CANDIDATES_MAX: usize = 3;

/// The maximum number of daemons that a daemon is told to get a configuration from.
const HOLDERS_MAX: usize = 3;

/// A daemon that has called recently.
#[derive(Debug, Clone, Copy)]
struct Peer {
    seen_at: Instant,
    strength: u32,
    address: SocketAddr,
    configuration: u64,
}

/// A daemon that may lead next.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    pub(super) name: DaemonName,
    pub(super) address: SocketAddr,
    pub(crate) strength: u32,
    /// How many upstreams with keys it does not reach; none if it has not reported.
    pub(crate) lost: Lost,
    /// Whether it has reported which upstreams it reaches.
    pub(crate) has_reported: bool,
}

/// The status of this daemon and what it knows of the others.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) standing: Standing,
    /// The newest leader that has announced itself to this daemon.
    pub(super) successor: Option<LeaderEntry>,
    peers: HashMap<DaemonName, Peer>,
    pub(super) reports: Reports,
    /// The upstreams by which daemons are compared as leaders; none at a daemon that has not led.
    pub(super) keyed: Keyed,
    /// The name of this daemon, once it has led.
    pub(super) own_name: Option<DaemonName>,
    /// When another daemon last read the store.
    pub(super) store_read_at: Option<Instant>,
}

impl State {
    /// Records that a daemon has called.
    pub(super) fn record_peer(&mut self, request: &Request) {
        let now = Instant::now();
        let read_at = request.store_age.and_then(|age| now.checked_sub(age));
        let peer = Peer {
            seen_at: now,
            strength: request.strength,
            address: request.address,
            configuration: request.configuration,
        };
        self.peers.insert(request.from.clone(), peer);
        self.store_read_at = self.store_read_at.max(read_at);
    }

    /// Returns some of the daemons that have a configuration.
    pub(super) fn holders(&mut self, version: u64) -> Vec<SocketAddr> {
        let peers = self.peers().values();
        let holders = peers.filter(|peer| peer.configuration >= version);
        holders
            .map(|peer| peer.address)
            .sample(&mut rand::rng(), HOLDERS_MAX)
    }

    /// Returns how many daemons have called recently.
    pub(super) fn count(&mut self) -> usize {
        self.peers().len()
    }

    /// Returns the daemons that have called recently.
    fn peers(&mut self) -> &HashMap<DaemonName, Peer> {
        let now = Instant::now();
        self.peers
            .retain(|_, peer| now.saturating_duration_since(peer.seen_at) < PEER_TTL);
        &self.peers
    }

    /// Returns daemons that accept the requests of the one that has sent `report`; there are `upstreams` in all.
    pub(super) fn helpers(&mut self, report: &Helper, upstreams: usize) -> Vec<Helper> {
        self.peers();
        let (peers, own) = (&self.peers, &self.own_name);
        let is_alive = |name: &DaemonName| {
            *name != report.name && (peers.contains_key(name) || own.as_ref() == Some(name))
        };
        self.reports.helpers(&report.zone, upstreams, is_alive)
    }

    /// Returns the strongest daemons that have called recently, the strongest first, but last those that reach
    /// far fewer upstreams of a service with keys than others.
    pub(super) fn candidates(&mut self) -> Vec<Candidate> {
        self.peers();
        let candidate = |(name, peer): (&DaemonName, &Peer)| Candidate {
            name: name.clone(),
            strength: peer.strength,
            address: peer.address,
            lost: self.keyed.count(self.reports.lost(name)),
            has_reported: self.reports.has(name),
        };
        let mut ranked: Vec<Candidate> = self.peers.iter().map(candidate).collect();
        // With those that have not reported, all others would look worse as soon as many upstreams are down.
        let reported = ranked.iter().filter(|one| one.has_reported);
        let lost = reported.map(|one| one.lost.clone());
        let best = lost.reduce(|best, one| best.min(&one)).unwrap_or_default();
        ranked.sort_by_cached_key(|one| {
            let is_worse = self.keyed.is_much_worse(&one.lost, &best);
            (is_worse, Reverse(one.strength), one.name.clone())
        });
        ranked.truncate(CANDIDATES_MAX);
        ranked
    }
}
