//! What a daemon learns from the leader for the time after its loss: who leads next, and who reaches what; and what it
//! asks those that lead next while the leader's updates are late.

use std::{net::SocketAddr, sync::atomic::Ordering, time::Duration};

use super::{Driver, Environment};
use crate::{
    clock::Clock,
    exchange::{CANDIDATES_MAX, Client, EVACUATIONS_TIMEOUT},
    lease::LeaderEntry,
    order::Sender,
    register::Register,
    shared::Offer,
};
use futures::future::join_all;
use rand::RngExt;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

/// How often a daemon asks the leader who should lead next.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// The interval while the leader has heard of few daemons.
const REFRESH_INTERVAL_MIN: Duration = Duration::from_secs(1);

/// The longest time, for each daemon, until a daemon asks again as the candidates for the next leadership have changed:
/// all daemons learn of the change at the same moment.
const REFRESH_JITTER_PER_DAEMON: Duration = Duration::from_millis(10);

/// How often a daemon without a leader asks the successors.
const ASK_INTERVAL: Duration = Duration::from_millis(150);

/// How often a daemon without a leader asks a successor for evacuations, of which it hears by their lists too.
const EVACUATIONS_INTERVAL: Duration = Duration::from_secs(1);

impl<R: Register, S: Sender, K: Clock, E: Environment> Driver<R, S, K, E> {
    /// Asks the leader for its successors, also whenever `changed` is notified, until the future is dropped.
    ///
    /// With outdated successors, daemons that are no longer successors would read the store for others that no longer ask
    /// them.
    ///
    /// A leader of an earlier release closes a connection with an unknown call, so each call has its own.
    pub(super) async fn refresh_successors(&self, leader: &LeaderEntry, changed: &Notify) {
        loop {
            let mut interval = REFRESH_INTERVAL;
            if let Some(client) = Client::connect(leader.address).await
                && let Some(successors) = client.successors().await
            {
                let known = successors.len();
                let daemons = self.shared.daemons.load(Ordering::Relaxed) as usize;
                if known < CANDIDATES_MAX.min(daemons.saturating_sub(1)) {
                    interval = REFRESH_INTERVAL_MIN;
                }
                self.metrics
                    .successors
                    .set(i64::try_from(known).unwrap_or(i64::MAX));
                // A successor reads the store itself.
                let is_successor = successors.contains(&self.identity.address);
                self.metrics.is_successor.set(is_successor.into());
                let reads_for_others = &self.shared.reads_for_others;
                reads_for_others.store(is_successor, Ordering::Relaxed);
                let to_ask = match is_successor {
                    true => Vec::new(),
                    false => successors,
                };
                self.shared.successors.send_replace(to_ask);
            }
            let refresh = async {
                changed.notified().await;
                let daemons = self.shared.daemons.load(Ordering::Relaxed);
                let jitter_max = REFRESH_JITTER_PER_DAEMON * daemons;
                let share = rand::rng().random_range(0.0..1.0);
                sleep(jitter_max.mul_f64(share)).await;
            };
            let _ = timeout(interval, refresh).await;
        }
    }

    /// Reports to the leader which upstreams this daemon reaches, and which leave, at once when that changes, until the
    /// future is dropped.
    pub(super) async fn report_reach(&self, leader: &LeaderEntry) {
        let mut lost = self.shared.lost.subscribe();
        let mut leaving = self.shared.leaving.subscribe();
        let mut client = None;
        loop {
            if client.is_none() {
                client = Client::connect(leader.address).await;
            }
            let is_lost = !lost.borrow_and_update().is_empty();
            leaving.borrow_and_update();
            let helpers = match &client {
                Some(client) => client.report_reach(self.reach_report()).await,
                None => None,
            };
            let interval = match helpers {
                Some(helpers) if helpers.is_empty() || is_lost => {
                    self.shared.helpers.send_replace(helpers);
                    REFRESH_INTERVAL_MIN
                }
                Some(helpers) => {
                    self.shared.helpers.send_replace(helpers);
                    REFRESH_INTERVAL
                }
                None => {
                    client = None;
                    REFRESH_INTERVAL_MIN
                }
            };
            // `self` owns the senders, so the channels stay open.
            let changed = async {
                tokio::select! {
                    _ = lost.changed() => {}
                    _ = leaving.changed() => {}
                }
            };
            let _ = timeout(interval, changed).await;
        }
    }

    /// Asks the leader for evacuations, until the future is dropped.
    ///
    /// A leader of an earlier release closes the connection, so the calls have their own.
    pub(super) async fn follow_evacuations(&self, leader: &LeaderEntry) {
        loop {
            let mut interval = REFRESH_INTERVAL;
            if let Some(client) = Client::connect(leader.address).await {
                loop {
                    let known = self.shared.evacuations.borrow().version;
                    let Some(evacuations) = client.evacuations(known, EVACUATIONS_TIMEOUT).await
                    else {
                        break;
                    };
                    interval = REFRESH_INTERVAL_MIN;
                    self.environment.apply_evacuations(&evacuations);
                }
            }
            sleep(interval).await;
        }
    }

    /// Asks the successors for evacuations whenever the leader's updates are late, one after the other until one answers,
    /// forever.
    pub(super) async fn ask_for_evacuations(&self) {
        loop {
            sleep(EVACUATIONS_INTERVAL).await;
            if !self.environment.is_leader_late() {
                continue;
            }
            let successors = self.shared.successors.borrow().clone();
            for address in successors {
                let Some(client) = Client::connect(address).await else {
                    continue;
                };
                let known = self.shared.evacuations.borrow().version;
                if let Some(evacuations) = client.evacuations(known, Duration::ZERO).await {
                    self.environment.apply_evacuations(&evacuations);
                    break;
                }
            }
        }
    }

    /// Asks the successors for their lists of upstreams whenever that of the leader is old, forever.
    pub(super) async fn ask_for_lists(&self) {
        loop {
            sleep(ASK_INTERVAL).await;
            if self.environment.is_list_late() {
                self.ask_for_list().await;
            }
        }
    }

    /// Asks the successors for newer configurations whenever the leader's updates are late, forever.
    pub(super) async fn ask_successors(&self) {
        loop {
            sleep(ASK_INTERVAL).await;
            if !self.environment.is_leader_late() {
                continue;
            }
            let successors = self.shared.successors.borrow().clone();
            // One that is lost must not hold back the answers of the others.
            let asked = successors
                .into_iter()
                .map(|address| self.ask_successor(address));
            join_all(asked).await;
            self.environment.record_successors_asked();
        }
    }

    /// Asks the successors for their list of upstreams, one after the other until one has a newer one.
    ///
    /// All daemons ask in the same order, so that most have the list of the daemon that leads next.
    async fn ask_for_list(&self) {
        let successors = self.shared.successors.borrow().clone();
        for address in successors {
            let Some(client) = Client::connect(address).await else {
                continue;
            };
            let request = self.request(self.environment.known_list());
            let Some(response) = client.exchange(request).await else {
                continue;
            };
            if let Some(update) = response.tables {
                // If it leads already, it is followed only once this daemon looks at the store again.
                self.shared.routing_tables.apply(update);
            }
            let delta = response.delta;
            if delta.is_some_and(|delta| self.environment.apply_successor_list(delta)) {
                return;
            }
        }
    }

    /// Asks a successor for the newest configuration, and has it fetched if this daemon lacks it.
    async fn ask_successor(&self, address: SocketAddr) {
        let Some(client) = Client::connect(address).await else {
            return;
        };
        let Some(newest) = client.newest_configuration().await else {
            return;
        };
        self.environment.record_successor(newest);
        let Some(newest) = newest else { return };
        if newest.version > self.environment.versions().0 {
            let offer = Offer {
                version: newest.version,
                holders: vec![address],
            };
            self.shared.offer.send_replace(offer);
        }
    }
}
