//! Which daemons read the log themselves, and from whom the others read it.
//!
//! In each data centre the live daemons with the highest rendezvous hashes are its readers; the
//! others spread over them. Nobody has to agree on that: daemons that see other members differ in
//! their choice, and a source that turns out to have no news is passed over for a while.

use std::{cmp::Reverse, time::Duration};

use copperwell_keyspace::{DaemonName, HashMap, Incarnation, Member};
use tokio::time::Instant;

/// Daemons of each data centre that read the log themselves.
pub const READERS: usize = 3;

/// How long a source that had no news is passed over.
const AVOIDED: Duration = Duration::from_mins(1);

/// Chooses where this daemon reads.
#[derive(Debug)]
pub struct Readers {
    me: Member,
    /// Runs that had no news when the platform had an answer, and until when they are passed over.
    avoided: HashMap<(DaemonName, Incarnation), Instant>,
    /// Rises with each source that failed, so that the next one is tried.
    turn: usize,
}

impl Readers {
    /// The choice of one daemon.
    #[must_use]
    pub fn new(me: Member) -> Self {
        Self {
            me,
            avoided: HashMap::default(),
            turn: 0,
        }
    }

    /// Whether this daemon is to read the log itself, given the live members that stay.
    #[must_use]
    pub fn is_reader(&self, now: Instant, live: &[&Member]) -> bool {
        let readers = self.of_data_centre(now, live, &self.me.data_centre);
        readers.iter().any(|reader| reader.is_same_run(&self.me))
    }

    /// From whom to read, given the live members that stay: a reader of this data centre, or, after
    /// those failed in turn, one of another, and then any daemon of this one, which may reach the
    /// platform where the readers do not.
    #[must_use]
    pub fn source<'a>(&self, now: Instant, live: &[&'a Member]) -> Option<&'a Member> {
        let mut sources = self.sources_here(now, live);
        // Each daemon begins with another one, so that each reader has as many to answer.
        sources.sort_by_key(|reader| Reverse(reader.rendezvous(&self.me.name)));
        sources.extend(self.remote(now, live));
        sources.extend(self.neighbour(now, live));
        let index = self.turn.checked_rem(sources.len())?;
        sources.get(index).copied()
    }

    /// Notes that a source gave no answer, or none that was fresh: another one is next.
    pub fn fail(&mut self) {
        self.turn = self.turn.wrapping_add(1);
    }

    /// Notes that the platform answered where a source did not, and passes over the source.
    pub fn avoid(&mut self, now: Instant, source: &Member) {
        self.avoided.retain(|_, until| now < *until);
        let run = (source.name.clone(), source.incarnation);
        self.avoided.insert(run, now + AVOIDED);
        self.turn = 0;
    }

    /// The readers of this data centre, or, when all of them are passed over, whoever follows.
    fn sources_here<'a>(&self, now: Instant, live: &[&'a Member]) -> Vec<&'a Member> {
        let is_other = |member: &&Member| !member.is_same_run(&self.me);
        let mut sources = ranked(live, &self.me.data_centre);
        sources.truncate(READERS);
        sources.retain(|member| is_other(member) && !self.avoids(now, member));
        if sources.is_empty() {
            sources = self.of_data_centre(now, live, &self.me.data_centre);
            sources.retain(is_other);
        }
        sources
    }

    /// A reader of one other data centre, another one each turn.
    fn remote<'a>(&self, now: Instant, live: &[&'a Member]) -> Option<&'a Member> {
        let mut others: Vec<&str> = live.iter().map(|member| &*member.data_centre).collect();
        others.retain(|name| *name != &*self.me.data_centre);
        others.sort_unstable();
        others.dedup();
        let own = usize::try_from(self.me.rendezvous(&self.me.name) % 1024).unwrap_or(0);
        let index = self.turn.wrapping_add(own).checked_rem(others.len())?;
        let readers = self.of_data_centre(now, live, others[index]);
        let index = own.checked_rem(readers.len())?;
        readers.get(index).copied()
    }

    /// A daemon of this data centre that is no reader, another one each turn.
    fn neighbour<'a>(&self, now: Instant, live: &[&'a Member]) -> Option<&'a Member> {
        let mut others = ranked(live, &self.me.data_centre);
        others.drain(..READERS.min(others.len()));
        others.retain(|member| !member.is_same_run(&self.me) && !self.avoids(now, member));
        let index = self.turn.checked_rem(others.len())?;
        others.get(index).copied()
    }

    /// The readers of a data centre, without those that are passed over.
    fn of_data_centre<'a>(
        &self,
        now: Instant,
        live: &[&'a Member],
        data_centre: &str,
    ) -> Vec<&'a Member> {
        let mut members = ranked(live, data_centre);
        members.retain(|member| !self.avoids(now, member));
        members.truncate(READERS);
        members
    }

    fn avoids(&self, now: Instant, member: &Member) -> bool {
        let run = (member.name.clone(), member.incarnation);
        self.avoided.get(&run).is_some_and(|until| now < *until)
    }
}

/// The members of a data centre, the first reader first.
fn ranked<'a>(live: &[&'a Member], data_centre: &str) -> Vec<&'a Member> {
    let mut members = live.to_vec();
    members.retain(|member| *member.data_centre == *data_centre);
    members.sort_by_key(|member| Reverse((member.rendezvous(data_centre), &member.name)));
    members
}
