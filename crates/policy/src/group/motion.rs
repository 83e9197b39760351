//! Shards on their way: to another upstream, another group or another leader.

use std::{collections::BTreeMap, time::Duration};

use super::{
    Group, Phase, REPEAT,
    message::{Action, Route, Ticket},
    place::{Goal, Leaving, Place},
};
use copperwell_keyspace::{GroupId, ShardIndex};
use tokio::time::Instant;

/// Shards on their way from one upstream to another at a time.
const MOVES_AT_ONCE: usize = 8;

/// Shards that wait for the log to give them to another group at a time.
const AWAY_MAX: usize = 64;

/// Shards that are ready within this time of one another are told together.
const AWAY_PAUSE: Duration = Duration::from_millis(100);

/// From here on a draining upstream's shards are all moved at once.
pub(super) const DRAIN_PATIENCE: Duration = Duration::from_secs(1);

impl Group {
    /// Notes that a shard's last request has ended.
    pub(super) fn on_idle(&mut self, shard: ShardIndex, ticket: Ticket) {
        if let Some(Place::Leaving(leaving)) = self.shards.get_mut(&shard)
            && leaving.ticket == ticket
        {
            leaving.idle = true;
        }
    }

    /// Begins to hand over to another daemon.
    pub(super) fn on_hand_over(&mut self) {
        self.phase = Phase::HandingOver;
        let shards: Vec<ShardIndex> = self.shards.keys().copied().collect();
        for shard in shards {
            self.begin_move(shard, Goal::Stay);
        }
        self.changed.extend(self.shards.keys());
    }

    /// Notes which shards another group is to own.
    pub(super) fn on_give_away(&mut self, shards: &[ShardIndex], to: &GroupId) {
        for shard in shards
            .iter()
            .filter(|shard| self.shards.contains_key(shard))
        {
            self.departing.insert(*shard, to.clone());
        }
    }

    /// Begins to move the shards of upstreams that leave.
    pub(super) fn drain(&mut self, now: Instant) {
        let mut wanted = Vec::new();
        for server in self.servers.values_mut() {
            if !server.is_leaving() {
                server.drained = None;
                continue;
            }
            let since = *server.drained.get_or_insert(now);
            let all = now >= since + DRAIN_PATIENCE;
            let many = if all { usize::MAX } else { MOVES_AT_ONCE };
            let held = server.owned.iter().copied();
            wanted.extend(held.take(many).map(|shard| (shard, all)));
        }
        for (shard, all) in wanted {
            let is_owned = matches!(self.shards.get(&shard), Some(Place::Owned { .. }));
            if is_owned && (all || self.leaving.len() < MOVES_AT_ONCE) {
                self.begin_move(shard, Goal::Anywhere);
            }
        }
    }

    /// Frees the shards that another group is to own, and sets them aside.
    pub(super) fn depart(&mut self, now: Instant) {
        for (shard, to) in self.departing.clone() {
            let has_room = self.leaving.len() < MOVES_AT_ONCE && self.away.len() < AWAY_MAX;
            match self.shards.get(&shard) {
                Some(Place::Owned { .. }) if has_room => {
                    self.begin_move(shard, Goal::Anywhere);
                }
                Some(Place::Free(free)) if self.is_ready(free, now) => {
                    let soon = now + AWAY_PAUSE;
                    let is_first = self.away.is_empty();
                    self.away_at = if is_first {
                        soon
                    } else {
                        soon.min(self.away_at)
                    };
                    self.put(shard, Place::Away { to });
                }
                _ => {}
            }
        }
    }

    /// Holds a shard's requests until those in flight have ended.
    pub(super) fn begin_move(&mut self, shard: ShardIndex, goal: Goal) {
        let Some(Place::Owned { by, stamp } | Place::Leaving(Leaving { by, stamp, .. })) =
            self.shards.get(&shard)
        else {
            return;
        };
        let (by, stamp) = (by.clone(), *stamp);
        self.ticket += 1;
        let ticket = self.ticket;
        let leaving = Leaving {
            by,
            stamp,
            ticket,
            idle: false,
            goal,
        };
        self.put(shard, Place::Leaving(leaving));
        // The route is held first, so that the wait misses no request.
        self.set_route(shard, Route::Held);
        self.actions.push(Action::AwaitIdle { shard, ticket });
    }

    /// Tells which shards are ready for another group.
    pub(super) fn tell_away(&mut self, now: Instant) {
        if self.away.is_empty() || now < self.away_at {
            return;
        }
        self.away_at = now + REPEAT;
        let mut away: BTreeMap<GroupId, Vec<ShardIndex>> = BTreeMap::new();
        for shard in &self.away {
            if let Some(Place::Away { to }) = self.shards.get(shard) {
                away.entry(to.clone()).or_default().push(*shard);
            }
        }
        for (to, shards) in away {
            self.actions.push(Action::LetGo { shards, to });
        }
    }

    /// Ends a hand-over when nothing is in flight.
    pub(super) fn finish(&mut self) {
        if self.phase != Phase::HandingOver {
            return;
        }
        let is_busy = |shard: &ShardIndex| {
            let place = self.shards.get(shard);
            matches!(place, Some(Place::Leaving(leaving)) if !leaving.idle)
        };
        if !self.leaving.iter().any(is_busy) {
            self.stop();
            self.actions.push(Action::HandedOver);
        }
    }
}
