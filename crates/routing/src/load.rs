//! Load balancing for requests that any upstream of the service can serve.
//!
//! Each daemon uses its own observations: its requests in flight, latencies, and failures. The load of other
//! daemons is visible in the latencies, and in what upstreams report of themselves.

use std::{sync::Arc, time::Duration};

use crate::{ServiceName, UpstreamId, registry::Upstream};
use copperwell_message::HashMap;
use rand::Rng;
use tokio::time::Instant;

use choice::{CHECK_COST, warmup_cost};
use observation::Load;
use report::Known;
use subset::Demand;

pub use observation::{Outcome, Timing};
pub use report::{InvalidReport, Report};

mod choice;
mod observation;
mod report;
mod subset;

/// The most requests that one daemon has in flight for each slot of an upstream.
const IN_FLIGHT_PER_SLOT_MAX: u32 = 3;

/// The longest time for which an upstream gets no requests because it has asked for none.
const CLOSED_MAX: Duration = Duration::from_secs(300);

/// This daemon's observations of all upstreams.
#[derive(Debug, Default)]
pub struct Loads {
    loads: HashMap<UpstreamId, Load>,
    /// The number by which this daemon ranks upstreams; `None` if it prefers none.
    identity: Option<u64>,
    /// The number of daemons that send requests; 0 if it is not known.
    daemons: u32,
    demands: HashMap<ServiceName, Demand>,
    spill_overs: u64,
}

impl Loads {
    /// Makes the daemon prefer a subset of the upstreams of services that have many, by a hash of its name.
    #[must_use]
    pub fn with_identity(mut self, daemon: &str) -> Self {
        self.identity = Some(subset::identity(daemon));
        self
    }

    /// Sets the number of daemons that send requests to the same upstreams; 0 if it is not known.
    pub fn set_daemons(&mut self, daemons: u32) {
        self.daemons = daemons;
    }

    /// Returns how often an upstream outside of the preferred subset was chosen.
    #[must_use]
    pub fn spill_overs(&self) -> u64 {
        self.spill_overs
    }

    /// Returns the number of upstreams that this daemon prefers, for each service in which it does not use all alike.
    #[must_use]
    pub fn subsets(&self, now: Instant) -> Vec<(ServiceName, usize)> {
        let demands = self.demands.iter();
        let sizes = demands.filter_map(|(service, demand)| {
            let size = demand.subset_at(now)?;
            Some((service.clone(), size))
        });
        sizes.collect()
    }

    /// Returns the upstream with the lowest cost, to which `random` adds jitter.
    ///
    /// Upstreams in `avoid`, where earlier attempts failed, and paused ones are chosen only if no other is
    /// left. One outside of the subset that this daemon prefers is chosen only if it is expected to be clearly faster.
    /// Returns `None` if every upstream is draining, wants no requests, or has no capacity for this daemon.
    pub fn choose<'a>(
        &mut self,
        upstreams: &'a [Arc<Upstream>],
        zone: &str,
        avoid: &[UpstreamId],
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<&'a Arc<Upstream>> {
        self.choose_by(upstreams, zone, avoid, now, random, warmup_cost)
    }

    /// Returns the upstream that [`choose`](Self::choose) would return if those were warm that `must_be_checked`; each of
    /// these costs somewhat more, for its check.
    pub fn choose_unchecked<'a>(
        &mut self,
        upstreams: &'a [Arc<Upstream>],
        zone: &str,
        must_be_checked: impl Fn(&str) -> bool,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<&'a Arc<Upstream>> {
        let cost = |upstream: &Upstream| match must_be_checked(&upstream.id) {
            true => CHECK_COST,
            false => warmup_cost(upstream),
        };
        self.choose_by(upstreams, zone, &[], now, random, cost)
    }

    /// Records what an upstream has reported of its load at `now`.
    ///
    /// With `is_answer`, the report came with the answer to a request that still counts as in flight.
    pub fn record_report(
        &mut self,
        id: &UpstreamId,
        report: Report,
        is_answer: bool,
        now: Instant,
    ) {
        let load = self
            .loads
            .entry(id.clone())
            .or_insert_with(|| Load::new(now));
        let own = load.in_flight.saturating_sub(u32::from(is_answer));
        load.report = Some(Known::new(report, own, now));
        let max = report.slots.saturating_mul(IN_FLIGHT_PER_SLOT_MAX);
        load.limit.record_report(&report, own, max, now);
    }

    /// Returns whether this daemon may have one more request in flight at an upstream.
    #[must_use]
    pub fn has_capacity(&self, upstream: &Upstream) -> bool {
        let load = self.loads.get(&upstream.id);
        let max = upstream.slots.max(1).saturating_mul(IN_FLIGHT_PER_SLOT_MAX);
        load.is_none_or(|load| load.limit.allows(load.in_flight, max))
    }

    /// Returns the number of this daemon's requests in flight at an upstream.
    #[must_use]
    pub fn in_flight(&self, id: &str) -> u32 {
        self.loads.get(id).map_or(0, |load| load.in_flight)
    }

    /// Records that an upstream wants no requests of this daemon for `time`.
    pub fn record_closed(&mut self, id: &UpstreamId, time: Duration, now: Instant) {
        let load = self
            .loads
            .entry(id.clone())
            .or_insert_with(|| Load::new(now));
        let until = now + time.min(CLOSED_MAX);
        load.closed_until = load.closed_until.max(Some(until));
    }

    /// Returns for how long an upstream wants no requests of this daemon; `None` if it takes some.
    #[must_use]
    pub fn closed_for(&self, id: &str, now: Instant) -> Option<Duration> {
        let until = self.loads.get(id)?.closed_until?;
        (now < until).then(|| until.saturating_duration_since(now))
    }

    /// Forgets what earlier incarnations of an upstream have asked for and reported.
    pub fn reopen(&mut self, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.closed_until = None;
            load.report = None;
        }
    }

    /// Records the start of a request.
    pub fn record_start(&mut self, id: &UpstreamId, now: Instant) {
        let load = self
            .loads
            .entry(id.clone())
            .or_insert_with(|| Load::new(now));
        load.in_flight += 1;
    }

    /// Records the end of a request that took `elapsed`.
    pub fn record_end(
        &mut self,
        id: &UpstreamId,
        outcome: Outcome,
        elapsed: Duration,
        now: Instant,
    ) {
        if let Some(load) = self.loads.get_mut(id) {
            load.record_end(outcome, elapsed, now);
        }
    }

    /// Records how a streamed response ended whose request counts as ended already.
    ///
    /// The latency of a complete response is that of its head, as the rest also depends on how fast the caller reads.
    /// One that did not end in time took all of the time: with that of its head, an upstream that begins responses at
    /// once and never ends them would look fast.
    pub fn record_response_end(
        &mut self,
        id: &UpstreamId,
        outcome: Outcome,
        timing: Timing,
        now: Instant,
    ) {
        let elapsed = match outcome {
            Outcome::TimedOut => timing.whole,
            _ => timing.head,
        };
        if let Some(load) = self.loads.get_mut(id) {
            load.record_outcome(outcome, elapsed, now);
        }
    }

    /// Removes unregistered upstreams that have no request in flight.
    pub fn retain(&mut self, is_registered: impl Fn(&str) -> bool) {
        self.loads
            .retain(|id, load| load.in_flight > 0 || is_registered(id));
    }
}
