//! The leader's calls to the store, and the lease that follows from them.

use std::time::Duration;

use super::{Leading, Storing};
use crate::{
    clock::Clock,
    driver::{LEAD, PLAN, Scene, decode, encode, outcome_of},
    exchange::Standing,
    lease::{Lapse, LeaderEntry},
    machine::Machine,
    order::Command,
    register::{Failure, Register, Snapshot},
};
use copperwell_routing::ServiceName;
use spdlog::{info, warn};

/// After how much time grants have ended of which nothing is known; longer than any lasts.
const UNKNOWN_END: Duration = Duration::from_secs(60);

/// How long before its lease lapses a leader without the store gives grants that last as long as they
/// may. Until then others tell whether the store answers them; if so, one of them leads, and needs
/// grants that end soon.
pub(super) const LONG_HOLD: Duration = Duration::from_millis(700);

/// How long a call to the store may take before the store counts as away.
pub(super) const SLOW: Duration = Duration::from_millis(500);

/// How long after a failed write the next one follows.
const RETRY: Duration = Duration::from_millis(200);

/// What became of a call to the store.
pub(super) enum Stored {
    Written(Written),
    Read(Result<Snapshot, Failure>),
}

/// A write and what became of it.
pub(super) struct Written {
    sent: Duration,
    beat: u64,
    editions: Vec<(ServiceName, u64)>,
    result: Result<u64, Failure>,
}

impl<'a, R: Register, C: Command, K: Clock, S: Scene> Leading<'a, R, C, K, S> {
    /// Tells the others whether this daemon may give orders; if not, they need not wait for it.
    pub(super) fn stand(&mut self, now: Duration) {
        let successor = self.driver.desk.successor();
        if successor.is_some_and(|later| later.term > self.term) {
            self.is_lost = true;
            self.lease.expire();
        }
        if self.is_cut_off(now) {
            // Another daemon can lead at once, while this one's grants still last.
            self.lease.expire();
        }
        let before = self.lapse;
        let is_asked = self.asked_at.is_some();
        self.lapse = match before {
            _ if self.lease.is_valid(now) => None,
            // A write that is on its way may still renew the lease.
            Some(lapse) if is_asked => Some(lapse),
            _ => Some(Lapse {
                term: self.term,
                beat: self.beat,
                grants_end: self.grants_end_after(now),
            }),
        };
        let standing = self.lapse.map_or(Standing::Leads, Standing::Lapsed);
        self.driver.desk.set_standing(standing);
        if before.is_some() != self.lapse.is_some() {
            let lapsed = self.lapse.is_some();
            info!("the lease changed", kv: { event = "lease", term = self.term, lapsed });
        }
    }

    /// After how much time the grants of this leader, and of those before, have ended.
    pub(super) fn grants_end_after(&self, now: Duration) -> Duration {
        if !self.plans.is_empty() {
            // Of services that it does not lead, it knows nothing.
            return UNKNOWN_END;
        }
        let ends = self.machines.iter().map(Machine::grants_end);
        let ends = ends.max().map(|end| end.saturating_sub(now));
        ends.unwrap_or(UNKNOWN_END)
    }

    /// A write of what changed, or of the lease alone if that is due.
    pub(super) fn write(&mut self) -> Option<Storing<'a>> {
        let driver = self.driver;
        let now = driver.clock.now();
        if now < self.write_at {
            return None;
        }
        let plans = self.machines.iter().filter_map(|machine| {
            let (edition, plan) = machine.plan_to_store()?;
            Some((machine.service().clone(), edition, plan))
        });
        let plans: Vec<_> = plans.collect();
        if plans.is_empty() && now < self.beat_at {
            return None;
        }
        self.beat += 1;
        self.beat_at = now + driver.timing.lease.renew_interval;
        let lead = driver.lead(self.term, self.beat, self.number, false);
        let mut entries = vec![encode(LEAD, &lead)];
        let mut editions = Vec::new();
        for (service, edition, plan) in plans {
            entries.push(encode(format!("{PLAN}{service}"), &plan));
            editions.push((service, edition));
        }
        let (at, beat) = (self.end, self.beat);
        self.asked_at = Some(now);
        Some(Box::pin(async move {
            let result = driver.register.swap(at, &entries).await;
            Stored::Written(Written {
                sent: now,
                beat,
                editions,
                result,
            })
        }))
    }

    /// Takes what became of a call to the store; gives the call that must follow.
    pub(super) fn stored(&mut self, stored: Stored) -> Option<Storing<'a>> {
        self.asked_at = None;
        match stored {
            Stored::Written(written) => self.written(written),
            Stored::Read(read) => {
                self.compare(read);
                None
            }
        }
    }

    fn written(&mut self, written: Written) -> Option<Storing<'a>> {
        let driver = self.driver;
        driver.metrics.swapped(outcome_of(&written.result));
        let now = driver.clock.now();
        match written.result {
            Ok(end) => {
                self.end = end;
                let is_bound = self.lapse.is_some_and(|lapse| written.beat <= lapse.beat);
                if !is_bound {
                    self.lease.renew(written.sent, &driver.timing.lease);
                }
                self.note_store(None);
                for (service, edition) in written.editions {
                    if let Some(machine) = self.machine(&service) {
                        machine.stored(edition, now);
                    }
                }
                None
            }
            Err(failure) => {
                warn!("the lease was not renewed", kv: { event = "beat-failed", term = self.term, failure = failure.as_str() });
                self.beat_at = now;
                self.write_at = now + RETRY;
                self.unsure = Some(written.sent);
                if failure != Failure::Conflict {
                    self.note_store(Some(written.sent));
                }
                let read = driver.register.read();
                Some(Box::pin(async move { Stored::Read(read.await) }))
            }
        }
    }

    /// Compares with the store after a write whose outcome is not known, or that came too late.
    fn compare(&mut self, read: Result<Snapshot, Failure>) {
        let Ok(snapshot) = read else { return };
        self.note_store(None);
        let lead: Option<LeaderEntry> = decode(&snapshot, LEAD);
        let is_mine = lead.as_ref().is_some_and(|lead| {
            lead.term == self.term && lead.run == self.driver.identity.run && !lead.is_over
        });
        if !is_mine {
            self.is_lost = true;
            self.lease.expire();
            info!("another daemon leads", kv: { event = "superseded", term = self.term, leader = lead.map_or(String::new(), |lead| lead.name.to_string()) });
            return;
        }
        // What was written may be there or not; it is written again from here.
        self.end = snapshot.end;
        let is_there = lead.is_some_and(|lead| lead.beat == self.beat);
        if let Some(sent) = self
            .unsure
            .take()
            .filter(|_| is_there && self.lapse.is_none())
        {
            self.lease.renew(sent, &self.driver.timing.lease);
        }
        self.write_at = self.driver.clock.now();
    }

    /// Notes since when the store does not answer; `None` if it does.
    pub(super) fn note_store(&mut self, away: Option<Duration>) {
        let is_same = self.store_away.is_some() == away.is_some();
        if !is_same {
            self.store_away = away;
            info!("the store's state changed for the leader", kv: { dependency = "store", away = away.is_some(), term = self.term });
        }
    }

    /// Whether others have read the store since this daemon last did.
    fn is_cut_off(&self, now: Duration) -> bool {
        let Some(since) = self.store_away else {
            return false;
        };
        let seen = self.driver.desk.store_age();
        seen.is_some_and(|age| now.saturating_sub(age) > since + SLOW)
    }
}
