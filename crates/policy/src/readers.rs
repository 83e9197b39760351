//! Which daemons read the log themselves, and which peers the others read it from.
//!
//! In each data centre, the live daemons with the highest rendezvous hashes are its readers; the
//! others spread over them. This needs no agreement: daemons with different member lists may choose
//! different readers, and a source that turns out to be stale is avoided for a while.

use std::{cmp::Reverse, time::Duration};

use copperwell_keyspace::{DaemonName, HashMap, Incarnation, Member};
use tokio::time::Instant;

/// Number of daemons in each data centre that read the log themselves.
pub const READERS_PER_DATA_CENTRE: usize = 3;

/// Time for which a stale source is avoided.
const AVOID_TIME: Duration = Duration::from_mins(1);

/// Chooses the source from which one daemon reads the log.
#[derive(Debug)]
pub struct Readers {
    me: Member,
    /// Incarnations that were stale while the platform answered, and until when they are avoided.
    avoided: HashMap<(DaemonName, Incarnation), Instant>,
    /// Failures since a source was last avoided; each selects the next source.
    failures: usize,
}

impl Readers {
    /// Creates the choice for the daemon `me`.
    #[must_use]
    pub fn new(me: Member) -> Self {
        Self {
            me,
            avoided: HashMap::default(),
            failures: 0,
        }
    }

    /// Returns whether this daemon should read the log itself, given the live members that aren't
    /// leaving.
    #[must_use]
    pub fn is_reader(&self, now: Instant, live: &[&Member]) -> bool {
        let readers = self.readers_of(now, live, &self.me.data_centre);
        readers.iter().any(|reader| reader.is_same_run(&self.me))
    }

    /// Returns the peer to read from, given the live members that aren't leaving.
    ///
    /// That is a reader of this data centre. After each of them failed, it is a reader of another
    /// data centre, and then any other daemon of this one, which may reach the platform when the
    /// readers don't.
    #[must_use]
    pub fn source<'a>(&self, now: Instant, live: &[&'a Member]) -> Option<&'a Member> {
        let mut sources = self.local_readers(now, live);
        // The order differs between daemons, so that the load is spread evenly over the readers.
        sources.sort_by_key(|reader| Reverse(reader.rendezvous(&self.me.name)));
        sources.extend(self.remote_reader(now, live));
        sources.extend(self.local_peer(now, live));
        let index = self.failures.checked_rem(sources.len())?;
        sources.get(index).copied()
    }

    /// Records that the source did not answer or had nothing new; selects the next one.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.wrapping_add(1);
    }

    /// Avoids a source for a while, because it was stale while the platform answered.
    pub fn avoid(&mut self, now: Instant, source: &Member) {
        self.avoided.retain(|_, until| now < *until);
        let key = (source.name.clone(), source.incarnation);
        self.avoided.insert(key, now + AVOID_TIME);
        self.failures = 0;
    }

    /// Returns the other readers of this data centre, or, if all of them are avoided, the members
    /// next in rank.
    fn local_readers<'a>(&self, now: Instant, live: &[&'a Member]) -> Vec<&'a Member> {
        let is_other = |member: &&Member| !member.is_same_run(&self.me);
        let mut sources = ranked(live, &self.me.data_centre);
        sources.truncate(READERS_PER_DATA_CENTRE);
        sources.retain(|member| is_other(member) && !self.is_avoided(now, member));
        if sources.is_empty() {
            sources = self.readers_of(now, live, &self.me.data_centre);
            sources.retain(is_other);
        }
        sources
    }

    /// Returns a reader of another data centre; the data centre changes with each failure.
    fn remote_reader<'a>(&self, now: Instant, live: &[&'a Member]) -> Option<&'a Member> {
        let mut others: Vec<&str> = live.iter().map(|member| &*member.data_centre).collect();
        others.retain(|name| *name != &*self.me.data_centre);
        others.sort_unstable();
        others.dedup();
        let offset = usize::try_from(self.me.rendezvous(&self.me.name) % 1024).unwrap_or(0);
        let index = self
            .failures
            .wrapping_add(offset)
            .checked_rem(others.len())?;
        let readers = self.readers_of(now, live, others[index]);
        let index = offset.checked_rem(readers.len())?;
        readers.get(index).copied()
    }

    /// Returns a daemon of this data centre that is not a reader; it changes with each failure.
    fn local_peer<'a>(&self, now: Instant, live: &[&'a Member]) -> Option<&'a Member> {
        let mut others = ranked(live, &self.me.data_centre);
        others.drain(..READERS_PER_DATA_CENTRE.min(others.len()));
        others.retain(|member| !member.is_same_run(&self.me) && !self.is_avoided(now, member));
        let index = self.failures.checked_rem(others.len())?;
        others.get(index).copied()
    }

    /// Returns the readers of a data centre among the members that aren't avoided.
    fn readers_of<'a>(
        &self,
        now: Instant,
        live: &[&'a Member],
        data_centre: &str,
    ) -> Vec<&'a Member> {
        let mut members = ranked(live, data_centre);
        members.retain(|member| !self.is_avoided(now, member));
        members.truncate(READERS_PER_DATA_CENTRE);
        members
    }

    fn is_avoided(&self, now: Instant, member: &Member) -> bool {
        let key = (member.name.clone(), member.incarnation);
        self.avoided.get(&key).is_some_and(|until| now < *until)
    }
}

/// Returns the members of a data centre by descending rendezvous hash.
fn ranked<'a>(live: &[&'a Member], data_centre: &str) -> Vec<&'a Member> {
    let mut members = live.to_vec();
    members.retain(|member| *member.data_centre == *data_centre);
    members.sort_by_key(|member| Reverse((member.rendezvous(data_centre), &member.name)));
    members
}
