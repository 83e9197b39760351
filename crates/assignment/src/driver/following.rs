//! Follows a leader: reports to it, and applies what it tells.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use super::{Driver, Environment};
use crate::{
    DaemonName,
    clock::Clock,
    exchange::{Client, Request, Standing},
    lease::{Lapse, LeaderEntry},
    order::Sender,
    register::Register,
    shared::Offer,
    store_state::ListVersion,
};
use spdlog::warn;
use tokio::{sync::Notify, time::sleep};
use tokio_util::sync::CancellationToken;

/// How long a daemon waits before it repeats a report that the leader did not take.
const REPORT_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// How long a daemon waits after a response before the next request.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(20);

/// Why a daemon stopped following a leader.
pub(super) enum FollowOutcome {
    /// The leader does not answer, or no longer leads.
    Lost,
    /// A connection broke on which the leader had answered.
    Broken,
    /// The leader has announced that its lease lapsed.
    Lapsed(Lapse),
    /// The leader knows of a later leader.
    Superseded(LeaderEntry),
}

impl<R: Register, S: Sender, K: Clock, E: Environment> Driver<R, S, K, E> {
    /// Exchanges data with the leader until it no longer answers or leads.
    pub(super) async fn follow(
        &self,
        leader: &LeaderEntry,
        candidates: &mut Vec<DaemonName>,
        stopping: &CancellationToken,
    ) -> FollowOutcome {
        if leader.is_over || leader.address == self.identity.address {
            return FollowOutcome::Lost;
        }
        let Some(client) = Client::connect(leader.address).await else {
            return FollowOutcome::Lost;
        };
        let client = Arc::new(client);
        self.shared.limits.follow(client.clone());
        let reporting = self.report_crashes(&client);
        let changed = Notify::new();
        let following = self.exchange_with(&client, leader, candidates, &changed, stopping);
        let outcome = tokio::select! {
            outcome = following => outcome,
            () = reporting => FollowOutcome::Lost,
            () = self.refresh_successors(leader, &changed) => FollowOutcome::Lost,
            () = self.report_reach(leader) => FollowOutcome::Lost,
            () = self.follow_evacuations(leader) => FollowOutcome::Lost,
            () = self.shared.warmups.follow(|| Client::connect(leader.address)) => FollowOutcome::Lost,
        };
        self.shared.limits.follow_nobody();
        outcome
    }

    /// Reports requests that may crash upstreams to the leader, until the future is dropped.
    ///
    /// The leader may be a new one, so it is told again what earlier ones knew.
    async fn report_crashes(&self, client: &Client) {
        let quarantine = &self.shared.quarantine;
        quarantine.report_again();
        loop {
            quarantine.wait_for_unreported().await;
            loop {
                let entries = quarantine.take_unreported();
                if entries.is_empty() {
                    break;
                }
                if !client.report_crashes(entries).await {
                    quarantine.report_again();
                    sleep(REPORT_RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Exchanges data with the leader as [`Self::follow`] does, and notifies `changed` whenever the candidates change.
    async fn exchange_with(
        &self,
        client: &Client,
        leader: &LeaderEntry,
        candidates: &mut Vec<DaemonName>,
        changed: &Notify,
        stopping: &CancellationToken,
    ) -> FollowOutcome {
        let mut known_quarantine = 0;
        let mut known_limits = 0;
        let mut has_answered = false;
        let mut has_led = false;
        while !stopping.is_cancelled() {
            let request = Request {
                reports: self.shared.load_counts.take(),
                quarantine: known_quarantine,
                limits: self.shared.limits.take_unreported(),
                limits_version: known_limits,
                ..self.request(self.environment.versions().1)
            };
            let Some(response) = client.exchange(request).await else {
                warn!("the leader does not answer", kv: { dependency = "leader", leader = &*leader.name, term = leader.term });
                return match has_answered {
                    true => FollowOutcome::Broken,
                    false => FollowOutcome::Lost,
                };
            };
            has_answered = true;
            let daemons = &self.shared.daemons;
            daemons.store(response.daemons, Ordering::Relaxed);
            if response.standing == Standing::Leads {
                if !std::mem::replace(&mut has_led, true) {
                    self.shared.limits.end_own_schedules();
                }
                if *candidates != response.candidates {
                    *candidates = response.candidates;
                    changed.notify_one();
                }
                let snapshot = response.quarantine.as_ref();
                known_quarantine = snapshot.map_or(known_quarantine, |snapshot| snapshot.version);
                self.shared.quarantine.follow(snapshot);
                if let Some(snapshot) = &response.limits {
                    known_limits = snapshot.version;
                    self.shared.limits.merge(&snapshot.entries);
                }
            }
            if let Some(update) = response.tables {
                self.shared.routing_tables.apply(update);
            }
            if let Some(newer_leader) = response
                .successor
                .filter(|newer_leader| newer_leader.term > leader.term)
            {
                return FollowOutcome::Superseded(newer_leader);
            }
            match response.standing {
                Standing::Leads => {}
                Standing::Follows => return FollowOutcome::Lost,
                Standing::Lapsed(lapse) => return FollowOutcome::Lapsed(lapse),
            }
            if let Some(delta) = response.delta {
                let version = delta.configuration;
                self.environment.apply_update(delta);
                if self.environment.versions().0 < version {
                    let mut holders = response.holders;
                    holders.push(leader.address);
                    let offer = Offer { version, holders };
                    self.shared.offer.send_replace(offer);
                }
                self.shared.has_looked_for_leader.send_replace(true);
            }
            // Lets the leader send changes that follow each other quickly in one response.
            sleep(EXCHANGE_INTERVAL).await;
        }
        FollowOutcome::Lost
    }
    /// Returns a request without reports from a daemon that has `list`.
    pub(super) fn request(&self, list: ListVersion) -> Request {
        let configuration = self.environment.versions().0;
        let now = self.clock.now();
        let list_read_at = self.environment.list_read_at();
        Request {
            from: self.identity.name.clone(),
            strength: self.identity.strength,
            knows: self.shared.routing_tables.tables().version,
            base: self.shared.routing_tables.base(),
            address: self.identity.address,
            configuration,
            announced: self.shared.offer.borrow().version.max(configuration),
            list,
            store_age: list_read_at.map(|at| now.saturating_sub(at)),
            reports: Vec::new(),
            quarantine: 0,
            limits: Vec::new(),
            limits_version: 0,
        }
    }
}
