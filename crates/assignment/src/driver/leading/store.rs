//! The leader's calls to the store, and the lease that depends on them.

use std::time::Duration;

use super::{Leadership, StoreCall};
use crate::{
    clock::Clock,
    driver::{EXPIRIES, Environment, LEAD, PLAN, decode, encode, swap_outcome_name},
    exchange::Standing,
    expiry::Expiries,
    lease::{Lapse, LeaderEntry},
    machine::Machine,
    order::Sender,
    register::{Failure, Position, Register, Snapshot, generation, position},
};
use copperwell_routing::ServiceName;
use spdlog::{info, warn};

/// The time after which grants that this leader does not know have expired; longer than any grant
/// lasts.
const UNKNOWN_GRANT_TIME: Duration = Duration::from_secs(60);

/// How long before its lease lapses a leader that cannot reach the store starts to send grants of
/// the maximum duration. Until then other daemons may report that the store answers them; in that
/// case one of them takes over and needs grants that expire soon.
pub(super) const LONG_GRANT_MARGIN: Duration = Duration::from_millis(700);

/// How long a call to the store may take before the store counts as unreachable.
pub(super) const SLOW_CALL: Duration = Duration::from_millis(500);

/// The delay between a failed write and the next one.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The result of a call to the store.
pub(super) enum StoreResult {
    /// A write has ended.
    Written(WriteResult),
    /// A read has ended.
    Read(Result<Snapshot, Failure>),
}

/// A write and its result.
pub(super) struct WriteResult {
    sent: Duration,
    beat: u64,
    editions: Vec<(ServiceName, u64)>,
    result: Result<u64, Failure>,
}

impl<'a, R: Register, S: Sender, K: Clock, E: Environment> Leadership<'a, R, S, K, E> {
    /// Ends the lease if another daemon leads or can lead, and announces whether this daemon may
    /// send orders; if not, the others need not wait before they take over.
    pub(super) fn update_standing(&mut self, now: Duration) {
        let successor = self.driver.server.successor();
        if successor.is_some_and(|leader| leader.term > self.term) {
            self.is_lost = true;
            self.lease.expire();
        }
        if self.is_cut_off(now) {
            // Another daemon can lead at once, while the grants of this one are still in force.
            self.lease.expire();
        }
        let previous = self.lapse;
        let is_call_in_flight = self.call_sent_at.is_some();
        self.lapse = match previous {
            _ if self.lease.is_valid(now) => None,
            // A write in flight may still renew the lease.
            Some(lapse) if is_call_in_flight => Some(lapse),
            _ => Some(Lapse {
                term: self.term,
                beat: self.beat,
                grants_end: self.remaining_grant_time(now),
            }),
        };
        let standing = self.lapse.map_or(Standing::Leads, Standing::Lapsed);
        self.driver.server.set_standing(standing);
        if previous.is_some() != self.lapse.is_some() {
            let lapsed = self.lapse.is_some();
            info!("lease state changed", kv: { event = "lease", term = self.term, lapsed });
        }
    }

    /// Returns the time after which the grants of this leader and its predecessors have expired.
    pub(super) fn remaining_grant_time(&self, now: Duration) -> Duration {
        if !self.plans.is_empty() {
            // Grants of services that have no machine yet are unknown.
            return UNKNOWN_GRANT_TIME;
        }
        let ends = self.machines.iter().map(Machine::grants_end);
        let ends = ends.max().map(|end| end.saturating_sub(now));
        ends.unwrap_or(UNKNOWN_GRANT_TIME)
    }

    /// Starts a write if plans have changed or the lease is due for renewal.
    pub(super) fn start_write(&mut self) -> Option<StoreCall<'a>> {
        let driver = self.driver;
        let now = driver.clock.now();
        if now < self.next_write_at {
            return None;
        }
        let plans = self.machines.iter().filter_map(|machine| {
            let (edition, plan) = machine.plan_to_store()?;
            Some((machine.service().clone(), edition, plan))
        });
        let plans: Vec<_> = plans.collect();
        if plans.is_empty() && now < self.renew_at && !self.must_restore {
            return None;
        }
        self.beat += 1;
        self.renew_at = now + driver.timing.lease.renew_interval;
        let generation = generation(self.position);
        let (beat, number) = (self.beat, self.table_number);
        let mut leader = driver.leader_entry(self.term, beat, number, false, generation);
        leader.unknown_for = self.unknown_until.saturating_sub(now);
        let mut entries = vec![encode(LEAD, &leader)];
        if self.must_restore {
            let unused = self.plans.iter();
            entries.extend(unused.map(|(service, plan)| encode(format!("{PLAN}{service}"), plan)));
        }
        for machine in &self.machines {
            let (term, ranges) = (self.term, machine.expiries(now));
            // Earlier entries that the store keeps are harmless: their ranges have other tokens now.
            if !ranges.is_empty() {
                let key = format!("{EXPIRIES}{}", machine.service());
                entries.push(encode(key, &Expiries { term, ranges }));
            }
        }
        let mut editions = Vec::new();
        for (service, edition, plan) in plans {
            entries.push(encode(format!("{PLAN}{service}"), &plan));
            editions.push((service, edition));
        }
        let at = self.position;
        self.call_sent_at = Some(now);
        Some(Box::pin(async move {
            let result = driver.register.compare_and_swap(at, &entries).await;
            StoreResult::Written(WriteResult {
                sent: now,
                beat,
                editions,
                result,
            })
        }))
    }

    /// Handles the result of a call to the store; returns the call that must follow.
    pub(super) fn handle_store_result(&mut self, result: StoreResult) -> Option<StoreCall<'a>> {
        self.call_sent_at = None;
        match result {
            StoreResult::Written(write) => self.handle_write(write),
            StoreResult::Read(read) => {
                self.reconcile(read);
                None
            }
        }
    }

    fn handle_write(&mut self, write: WriteResult) -> Option<StoreCall<'a>> {
        let driver = self.driver;
        driver.metrics.count_swap(swap_outcome_name(&write.result));
        let now = driver.clock.now();
        match write.result {
            Ok(position) => {
                self.position = position;
                self.must_restore = false;
                let is_lapse_binding = self.lapse.is_some_and(|lapse| write.beat <= lapse.beat);
                if !is_lapse_binding {
                    self.lease.renew(write.sent, &driver.timing.lease);
                }
                self.set_store_unreachable(None);
                for (service, edition) in write.editions {
                    if let Some(machine) = self.machine(&service) {
                        machine.mark_stored(edition, now);
                    }
                }
                None
            }
            Err(failure) => {
                warn!("lease renewal failed", kv: { event = "beat-failed", term = self.term, failure = failure.as_str() });
                self.renew_at = now;
                self.next_write_at = now + RETRY_DELAY;
                self.unconfirmed_write_at = Some(write.sent);
                if failure != Failure::Conflict {
                    self.set_store_unreachable(Some(write.sent));
                }
                let read = driver.register.read();
                Some(Box::pin(async move { StoreResult::Read(read.await) }))
            }
        }
    }

    /// Compares the state of this leader with the store, after a write that failed or whose outcome
    /// is unknown.
    fn reconcile(&mut self, read: Result<Snapshot, Failure>) {
        let Ok(snapshot) = read else { return };
        self.set_store_unreachable(None);
        let leader: Option<LeaderEntry> = decode(&snapshot, LEAD);
        let is_lost = |leader: &LeaderEntry| leader.generation < generation(snapshot.end);
        let has_lost_entries = leader
            .as_ref()
            .map_or(generation(snapshot.end) > 0, is_lost);
        if has_lost_entries && self.restore(snapshot.end) {
            return;
        }
        // If others may have led since, even an entry of its own is from before.
        let is_own = leader.as_ref().filter(|_| !has_lost_entries);
        let is_own = is_own.is_some_and(|leader| {
            leader.term == self.term && leader.run == self.driver.identity.run && !leader.is_over
        });
        if !is_own {
            self.is_lost = true;
            self.lease.expire();
            info!("lost leadership to another daemon", kv: { event = "superseded", term = self.term, leader = leader.map_or(String::new(), |leader| leader.name.to_string()) });
            return;
        }
        // The write may have taken effect or not; it is repeated from the position that was read.
        self.position = snapshot.end;
        let is_written = leader.is_some_and(|leader| leader.beat == self.beat);
        if let Some(sent) = self
            .unconfirmed_write_at
            .take()
            .filter(|_| is_written && self.lapse.is_none())
        {
            self.lease.renew(sent, &self.driver.timing.lease);
        }
        self.next_write_at = self.driver.clock.now();
    }

    /// Starts to write all entries again after the log has lost its end; `false` if another daemon may have
    /// taken over before, whose entries are lost too.
    fn restore(&mut self, end: Position) -> bool {
        let driver = self.driver;
        let now = driver.clock.now();
        if !self.lease.is_exclusive(now, &driver.timing.lease) {
            return false;
        }
        info!("writing plans again that the store has lost", kv: { event = "restore", term = self.term, position = end });
        self.position = end;
        self.must_restore = true;
        self.unconfirmed_write_at = None;
        for machine in &mut self.machines {
            machine.store_again(position(generation(end), 0));
        }
        self.next_write_at = now;
        true
    }

    /// Sets the time since which the store has not answered; `None` if it answers.
    pub(super) fn set_store_unreachable(&mut self, since: Option<Duration>) {
        let is_same = self.store_unreachable_since.is_some() == since.is_some();
        if !is_same {
            self.store_unreachable_since = since;
            info!("reachability of the store changed for the leader", kv: { dependency = "store", away = since.is_some(), term = self.term });
        }
    }

    /// Returns whether other daemons have read the store since this daemon last could.
    fn is_cut_off(&self, now: Duration) -> bool {
        let Some(since) = self.store_unreachable_since else {
            return false;
        };
        let store_age = self.driver.server.store_age();
        store_age.is_some_and(|age| now.saturating_sub(age) > since + SLOW_CALL)
    }
}
