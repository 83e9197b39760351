//! When a leader may count on a server, and when it may grant what a silent server held.

use std::net::SocketAddr;

use super::{
    Group,
    message::Predecessor,
    place::{Free, Place},
    server::{Run, Server},
};
use copperwell_keyspace::UpstreamName;
use tokio::time::Instant;

impl Group {
    /// Counts on the runs that no other leader can have got hold of.
    pub(super) fn establish(&mut self, now: Instant) {
        if self.stopped.is_some() {
            if !self.settled {
                self.settled = true;
                self.changed.extend(&self.unknown);
            }
            self.establish_first(now);
        }
        if !self.settled {
            self.settle(Self::suffices);
            return;
        }
        self.establish_later(now);
    }

    /// Whether enough servers have taken an order of this epoch that was sent at `since` or later.
    pub(super) fn is_confirmed(&self, since: Instant) -> bool {
        if self.confirmed.is_some_and(|at| at >= since) {
            return true;
        }
        let confirming = self.counted().filter(|server| {
            let run = server.established();
            run.is_some_and(|run| run.confirmed >= since)
        });
        confirming.count() >= self.needed_to_grant()
    }

    /// Whether surely no server holds a shard, nor will.
    pub(super) fn is_ready(&self, free: &Free, now: Instant) -> bool {
        let is_sure = free.unsure.is_none_or(|unsure| unsure <= now);
        is_sure && free.since.is_none_or(|since| self.is_confirmed(since))
    }

    /// Whether the upstream that is to have a shard comes up in a moment.
    pub(super) fn is_awaited(&self, free: &Free, now: Instant) -> bool {
        let next = free.next.as_ref().and_then(|next| self.servers.get(next));
        let comes =
            next.is_some_and(|next| next.misses == 0 && !next.is_open() && !next.is_leaving());
        comes && free.patience.is_some_and(|patience| now < patience)
    }

    /// Whether evidence could end a wait.
    pub(super) fn waits(&self) -> bool {
        let unconfirmed = self.confirm_since();
        let unconfirmed = unconfirmed.is_some_and(|since| !self.is_confirmed(since));
        !self.settled || !self.unknown.is_empty() || unconfirmed
    }

    /// The latest time for which a word of the servers is wanted.
    pub(super) fn confirm_since(&self) -> Option<Instant> {
        let freed = self.free.iter().filter_map(|shard| {
            let Some(Place::Free(free)) = self.shards.get(shard) else {
                return None;
            };
            free.since
        });
        let runs = self.servers.values().filter_map(|server| {
            let run = server.run.as_ref()?;
            let waits = !run.established;
            (waits && (server.is_checked() || self.stopped.is_some())).then_some(run.fenced)
        });
        let emptied = self.servers.values().filter_map(|server| server.emptied);
        freed.chain(runs).chain(emptied).max()
    }

    /// The servers whose word counts for this leader.
    fn counted(&self) -> impl Iterator<Item = &Server> {
        self.servers
            .values()
            .filter(|server| server.is_among(&self.voters.own))
    }

    /// How many servers must confirm this leader before it grants what a silent one held.
    ///
    /// Any so many and any [`majority`] have one in common.
    fn needed_to_grant(&self) -> usize {
        let all = self.voters.own.len();
        all - all / 2
    }

    /// Whether so many servers are fenced that no earlier leader can grant what a silent one held.
    fn suffices(&self, fenced: &[&Server]) -> bool {
        let is_quorum = |voters: &[SocketAddr]| {
            let among = fenced.iter().filter(|server| server.is_among(voters));
            among.count() >= majority(voters)
        };
        let former = &self.voters.former;
        if self.recorded {
            return !former.is_empty() && is_quorum(former);
        }
        // A standby succeeds the leader of its own appointment; if that one never acted, also the
        // one before.
        let is_succeeded = self.leader_acted || former.is_empty() || is_quorum(former);
        is_succeeded && is_quorum(&self.voters.own)
    }

    /// Whether all servers whose word counts are fenced.
    fn is_all(&self, fenced: &[&Server]) -> bool {
        let own = &self.voters.own;
        let among = fenced.iter().filter(|server| server.is_among(own));
        among.count() >= own.len()
    }

    /// Whether no order of an earlier leader can reach a server that would take it.
    fn counts_unchecked(&self, now: Instant) -> bool {
        let waited_out = self.waited_out().is_some_and(|at| at <= now);
        self.predecessor == Predecessor::None || waited_out
    }

    /// Counts on the first runs that it sees, as no earlier leader gives orders.
    fn establish_first(&mut self, now: Instant) {
        let unchecked = self.counts_unchecked(now);
        for server in self.servers.values_mut() {
            let may = server.is_checked() || unchecked;
            if server.runs == 1
                && may
                && let Some(run) = &mut server.run
                && !run.established
            {
                run.established = true;
                server.due = run.fenced;
                self.changed.extend(&server.owned);
            }
        }
    }

    /// Counts on servers that were all fenced at one moment, if they are enough.
    fn settle(&mut self, is_enough: impl Fn(&Self, &[&Server]) -> bool) {
        let servers = self.servers.values().filter(|server| server.is_checked());
        let runs = servers.filter_map(|server| Some((server, server.run.as_ref()?)));
        let runs: Vec<(&Server, &Run)> = runs.collect();
        let fenced_at = |moment: Instant| -> Vec<&Server> {
            let fenced = runs
                .iter()
                .filter(|(_, run)| run.fenced <= moment && run.confirmed >= moment);
            fenced.map(|(server, _)| *server).collect()
        };
        let mut moments: Vec<Instant> = runs.iter().map(|(_, run)| run.fenced).collect();
        moments.sort_unstable();
        let sets = moments.into_iter().map(fenced_at);
        let enough = sets.into_iter().find(|fenced| is_enough(self, fenced));
        let Some(fenced) = enough else {
            return;
        };
        let names = fenced.iter().map(|server| server.upstream.name.clone());
        let names: Vec<UpstreamName> = names.collect();
        self.settled = true;
        self.changed.extend(&self.unknown);
        for name in names {
            self.mark_established(&name);
        }
    }

    /// Counts on later runs once others confirm that nobody else has taken over since.
    fn establish_later(&mut self, now: Instant) {
        let unchecked = self.counts_unchecked(now);
        let waiting: Vec<(UpstreamName, Instant)> = self
            .servers
            .iter()
            .filter_map(|(name, server)| {
                let run = server.run.as_ref().filter(|run| !run.established)?;
                let may = server.is_checked() || unchecked;
                may.then(|| (name.clone(), run.fenced))
            })
            .collect();
        for (name, fenced) in &waiting {
            if self.is_confirmed(*fenced) {
                self.mark_established(name);
            }
        }
        // With too few left that could confirm, all of them together will do.
        let established = self
            .counted()
            .filter(|server| server.established().is_some());
        if !waiting.is_empty() && established.count() < self.needed_to_grant() {
            self.settle(Self::is_all);
        }
    }

    fn mark_established(&mut self, name: &UpstreamName) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let Some(run) = &mut server.run else {
            return;
        };
        run.established = true;
        server.due = run.fenced;
        self.changed.extend(&server.owned);
    }
}

/// How many of the voters make a take-over.
fn majority(voters: &[SocketAddr]) -> usize {
    voters.len() / 2 + 1
}
