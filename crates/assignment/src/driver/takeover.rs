//! How a daemon becomes the leader.

use std::{sync::atomic::Ordering, time::Duration};

use super::{Driver, Environment, LEAD, PLAN, encode, expiries_of, plans_of, swap_outcome_name};
use crate::{
    DaemonName,
    clock::Clock,
    election,
    exchange::Client,
    expiry::Expiry,
    lease::{LeaderEntry, Observer},
    machine,
    order::Sender,
    plan::Plan,
    register::{Register, Snapshot, generation},
};
use copperwell_message::HashMap;
use copperwell_routing::ServiceName;
use spdlog::info;

/// A term of leadership that the store has acknowledged.
#[derive(Debug)]
pub(super) struct Term {
    pub(super) number: u64,
    /// The position after the first entry of the term.
    pub(super) position: u64,
    /// When that entry was sent.
    pub(super) started_at: Duration,
    /// The plans in the store.
    pub(super) plans: HashMap<ServiceName, Plan>,
    /// What the previous leader wrote of the expiries of ranges.
    pub(super) expiries: HashMap<ServiceName, Vec<Expiry>>,
    /// Until when grants may be in force that no plan names.
    pub(super) unknown_until: Duration,
}

impl<R: Register, S: Sender, K: Clock, E: Environment> Driver<R, S, K, E> {
    /// Returns whether this daemon may become the leader now.
    pub(super) fn may_take_over(
        &self,
        snapshot: &Snapshot,
        leader: Option<&LeaderEntry>,
        observer: &Observer,
        candidates: &[DaemonName],
    ) -> bool {
        let Some(services) = self.environment.keyed_services() else {
            return false;
        };
        let needs_upstream_list = self.environment.list_read_at().is_none();
        self.shared
            .needs_upstream_list
            .store(needs_upstream_list, Ordering::Relaxed);
        if needs_upstream_list || services.is_empty() {
            return false;
        }
        let me = &self.identity;
        let timing = &self.timing.lease;
        let now = self.clock.now();
        if self.has_lost_entries(snapshot, leader) {
            return observer.may_take_over_after_loss(now, timing);
        }
        let patience = election::vacancy_patience(candidates, me.strength);
        let vacant_for = observer.vacant_for(leader, &me.name, me.address, now, timing);
        vacant_for.is_some_and(|vacant_for| vacant_for >= patience)
    }

    /// Tries to become the leader; returns the new term.
    pub(super) async fn take_over(
        &self,
        snapshot: &Snapshot,
        leader: Option<&LeaderEntry>,
    ) -> Option<Term> {
        let now = self.clock.now();
        let term = snapshot.end + 1;
        let unknown_until = self.unknown_until(snapshot, leader, now);
        let mut entry = self.leader_entry(term, 0, 0, false, generation(term));
        entry.unknown_for = unknown_until.saturating_sub(now);
        let unknown_ms = entry.unknown_for.as_millis() as u64;
        let mut plans = plans_of(snapshot);
        let mut entries = vec![encode(LEAD, &entry)];
        if !entry.unknown_for.is_zero() {
            // Their holders may have been replaced in plans that are lost.
            for (service, plan) in &mut plans {
                *plan = std::mem::take(plan).without_holders();
                entries.push(encode(format!("{PLAN}{service}"), plan));
            }
        }
        let result = self.register.compare_and_swap(snapshot.end, &entries).await;
        self.metrics.count_swap(swap_outcome_name(&result));
        match result {
            Ok(position) => {
                info!("leads now", kv: { event = "lead", term, from = leader.map_or("nobody", |leader| &*leader.name), unknown_ms });
                Some(Term {
                    number: term,
                    position,
                    started_at: now,
                    plans,
                    expiries: leader.map_or_else(HashMap::default, |leader| {
                        expiries_of(snapshot, leader.term)
                    }),
                    unknown_until,
                })
            }
            Err(failure) => {
                info!("failed to become the leader", kv: { event = "lead-lost", term, failure = failure.as_str() });
                None
            }
        }
    }

    /// Returns whether entries of later leaders may be lost, since the log has lost its end after the leader's
    /// last entry was written.
    fn has_lost_entries(&self, snapshot: &Snapshot, leader: Option<&LeaderEntry>) -> bool {
        let generation = generation(snapshot.end);
        match leader {
            Some(leader) => leader.generation < generation,
            None => generation > 0 && !self.identity.is_first_start,
        }
    }

    /// Returns until when grants may be in force that no plan in the store names.
    fn unknown_until(
        &self,
        snapshot: &Snapshot,
        leader: Option<&LeaderEntry>,
        now: Duration,
    ) -> Duration {
        if self.has_lost_entries(snapshot, leader) {
            return machine::latest_grant_end(&self.timing.grants, now);
        }
        leader.map_or(Duration::ZERO, |leader| now + leader.unknown_for)
    }

    /// Announces the new leader to its predecessor, which may be cut off from the store.
    pub(super) fn announce_to(&self, predecessor: Option<LeaderEntry>, leader: LeaderEntry) {
        let Some(predecessor) = predecessor.filter(|predecessor| !predecessor.is_over) else {
            return;
        };
        tokio::spawn(async move {
            if let Some(client) = Client::connect(predecessor.address).await {
                client.announce_successor(leader).await;
            }
        });
    }
}
