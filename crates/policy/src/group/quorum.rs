//! Quorum rules: when a run is established, and when shards of an unreachable server may be
//! granted.

use std::net::SocketAddr;

use super::{
    Group,
    message::Predecessor,
    ownership::{Free, Ownership},
    server::{Run, Server},
};
use copperwell_keyspace::UpstreamName;
use tokio::time::Instant;

impl Group {
    /// Establishes the runs that no other leader can have taken over.
    pub(super) fn establish(&mut self, now: Instant) {
        if self.predecessor_stopped_at.is_some() {
            if !self.has_taken_over {
                self.has_taken_over = true;
                self.changed.extend(&self.unknown);
            }
            self.establish_first_runs(now);
        }
        if !self.has_taken_over {
            self.take_over(Self::is_takeover_quorum);
            return;
        }
        self.establish_later_runs(now);
    }

    /// Returns whether a quorum, or the log and the standby, confirmed this leader at or after
    /// `since`.
    ///
    /// A server confirms by accepting an order of this epoch that was sent at that time or later.
    pub(super) fn is_confirmed(&self, since: Instant) -> bool {
        if self.confirmed_at.is_some_and(|at| at >= since) {
            return true;
        }
        let confirming = self.own_voters().filter(|server| {
            let run = server.established();
            run.is_some_and(|run| run.confirmed_at >= since)
        });
        confirming.count() >= self.grant_quorum()
    }

    /// Returns whether no server holds a free shard or can still accept an earlier grant of it.
    pub(super) fn is_grantable(&self, free: &Free, now: Instant) -> bool {
        let is_late_excluded = free.late_grant_until.is_none_or(|until| until <= now);
        is_late_excluded
            && free
                .lost_at
                .is_none_or(|lost_at| self.is_confirmed(lost_at))
    }

    /// Returns whether a free shard waits for its preferred upstream, which answers and is about to
    /// accept grants.
    pub(super) fn awaits_preferred(&self, free: &Free, now: Instant) -> bool {
        let preferred = free
            .preferred
            .as_ref()
            .and_then(|preferred| self.servers.get(preferred));
        let is_starting = preferred.is_some_and(|preferred| {
            preferred.misses == 0 && !preferred.accepts_grants() && !preferred.is_draining()
        });
        is_starting && free.wait_until.is_some_and(|wait_until| now < wait_until)
    }

    /// Returns whether [`Input::PredecessorStopped`] or [`Input::Confirmed`] could end a wait.
    ///
    /// [`Input::PredecessorStopped`]: super::message::Input::PredecessorStopped
    /// [`Input::Confirmed`]: super::message::Input::Confirmed
    pub(super) fn needs_evidence(&self) -> bool {
        let since = self.confirmation_needed_since();
        let is_unconfirmed = since.is_some_and(|since| !self.is_confirmed(since));
        !self.has_taken_over || !self.unknown.is_empty() || is_unconfirmed
    }

    /// Returns the latest time since which a confirmation is needed, if any.
    pub(super) fn confirmation_needed_since(&self) -> Option<Instant> {
        let freed = self.free.iter().filter_map(|shard| {
            let Some(Ownership::Free(free)) = self.shards.get(shard) else {
                return None;
            };
            free.lost_at
        });
        let runs = self.servers.values().filter_map(|server| {
            let run = server.run.as_ref()?;
            let is_waiting = !run.is_established;
            (is_waiting && (server.is_checked() || self.predecessor_stopped_at.is_some()))
                .then_some(run.fenced_at)
        });
        let emptied = self
            .servers
            .values()
            .filter_map(|server| server.empty_since);
        freed.chain(runs).chain(emptied).max()
    }

    /// Returns the servers that are voters of this leader's appointment.
    fn own_voters(&self) -> impl Iterator<Item = &Server> {
        self.servers
            .values()
            .filter(|server| server.is_among(&self.voters.own))
    }

    /// Returns how many voters must confirm this leader before it grants the shards of an
    /// unreachable server.
    ///
    /// Any set of this size intersects any [`majority`], so that no later leader can have taken
    /// over.
    fn grant_quorum(&self) -> usize {
        let count = self.voters.own.len();
        count - count / 2
    }

    /// Returns whether the fenced servers suffice for a takeover: no earlier leader can then reach
    /// its quorum to grant the shards of an unreachable server.
    fn is_takeover_quorum(&self, fenced: &[&Server]) -> bool {
        let is_quorum = |voters: &[SocketAddr]| {
            let among = fenced.iter().filter(|server| server.is_among(voters));
            among.count() >= majority(voters)
        };
        let former = &self.voters.former;
        if self.is_recorded {
            return !former.is_empty() && is_quorum(former);
        }
        // A standby succeeds the leader of its own appointment. If that leader never acted, the
        // leader of the appointment before may still act and must be fenced too.
        let is_former_fenced = self.predecessor_acted || former.is_empty() || is_quorum(former);
        is_former_fenced && is_quorum(&self.voters.own)
    }

    /// Returns whether all voters of this leader's appointment are fenced.
    fn has_all_own_voters(&self, fenced: &[&Server]) -> bool {
        let own = &self.voters.own;
        let among = fenced.iter().filter(|server| server.is_among(own));
        among.count() >= own.len()
    }

    /// Returns whether servers that do not check epochs can no longer get an order of an earlier
    /// leader.
    fn is_unchecked_safe(&self, now: Instant) -> bool {
        let has_expired = self.predecessor_leases_end().is_some_and(|at| at <= now);
        self.predecessor == Predecessor::None || has_expired
    }

    /// Establishes the first run seen of each server, as no earlier leader sends orders.
    fn establish_first_runs(&mut self, now: Instant) {
        let is_unchecked_safe = self.is_unchecked_safe(now);
        for server in self.servers.values_mut() {
            let is_safe = server.is_checked() || is_unchecked_safe;
            if server.runs_seen == 1
                && is_safe
                && let Some(run) = &mut server.run
                && !run.is_established
            {
                run.is_established = true;
                server.due_at = run.fenced_at;
                self.changed.extend(&server.owned);
            }
        }
    }

    /// Completes the takeover and establishes the servers that were all fenced at one instant, if
    /// `is_enough` holds for them.
    fn take_over(&mut self, is_enough: impl Fn(&Self, &[&Server]) -> bool) {
        let servers = self.servers.values().filter(|server| server.is_checked());
        let runs = servers.filter_map(|server| Some((server, server.run.as_ref()?)));
        let runs: Vec<(&Server, &Run)> = runs.collect();
        let fenced_at = |instant: Instant| -> Vec<&Server> {
            let fenced = runs
                .iter()
                .filter(|(_, run)| run.fenced_at <= instant && run.confirmed_at >= instant);
            fenced.map(|(server, _)| *server).collect()
        };
        let mut instants: Vec<Instant> = runs.iter().map(|(_, run)| run.fenced_at).collect();
        instants.sort_unstable();
        let sets = instants.into_iter().map(fenced_at);
        let enough = sets.into_iter().find(|fenced| is_enough(self, fenced));
        let Some(fenced) = enough else {
            return;
        };
        let names = fenced.iter().map(|server| server.upstream.name.clone());
        let names: Vec<UpstreamName> = names.collect();
        self.has_taken_over = true;
        self.changed.extend(&self.unknown);
        for name in names {
            self.mark_established(&name);
        }
    }

    /// Establishes later runs once a quorum confirms that no other leader has taken over since.
    fn establish_later_runs(&mut self, now: Instant) {
        let is_unchecked_safe = self.is_unchecked_safe(now);
        let waiting: Vec<(UpstreamName, Instant)> = self
            .servers
            .iter()
            .filter_map(|(name, server)| {
                let run = server.run.as_ref().filter(|run| !run.is_established)?;
                let is_safe = server.is_checked() || is_unchecked_safe;
                is_safe.then(|| (name.clone(), run.fenced_at))
            })
            .collect();
        for (name, fenced_at) in &waiting {
            if self.is_confirmed(*fenced_at) {
                self.mark_established(name);
            }
        }
        // With fewer established voters than a quorum no confirmation is possible; all voters
        // fenced at one instant take its place.
        let established = self
            .own_voters()
            .filter(|server| server.established().is_some());
        if !waiting.is_empty() && established.count() < self.grant_quorum() {
            self.take_over(Self::has_all_own_voters);
        }
    }

    fn mark_established(&mut self, name: &UpstreamName) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let Some(run) = &mut server.run else {
            return;
        };
        run.is_established = true;
        server.due_at = run.fenced_at;
        self.changed.extend(&server.owned);
    }
}

/// Returns how many fenced voters a takeover needs.
fn majority(voters: &[SocketAddr]) -> usize {
    voters.len() / 2 + 1
}
