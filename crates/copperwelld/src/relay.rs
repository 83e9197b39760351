//! Reading the log through other daemons.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use copperwell_keyspace::{LogOffset, Member, record::Snapshot, replay::State};
use copperwell_log::{Batch, Error, Relay, follow::is_news};
use copperwell_peer::{
    control::Client,
    members::{Members, Roster},
};
use copperwell_policy::readers::Readers;
use error_stack::Report;
use rand::seq::IndexedRandom;
use tokio::time::Instant;

/// Reads the log through peers that read it from the platform.
///
/// The lock is never held across an await.
pub(crate) struct Peers {
    members: Arc<Members>,
    client: Client,
    selection: Mutex<Selection>,
}

struct Selection {
    readers: Readers,
    /// The source of the last read.
    last_source: Option<Member>,
}

impl Peers {
    pub(crate) fn new(me: Member, members: Arc<Members>, client: Client) -> Self {
        let selection = Selection {
            readers: Readers::new(me),
            last_source: None,
        };
        Self {
            members,
            client,
            selection: Mutex::new(selection),
        }
    }

    /// Returns the next source and records it as the last one.
    fn next_source(&self) -> Option<Member> {
        let roster = self.members.roster().borrow().clone();
        let mut selection = self.selection();
        let source = selection
            .readers
            .source(Instant::now(), &remaining_members(&roster));
        selection.last_source = source.cloned();
        selection.last_source.clone()
    }

    async fn read(&self, from: LogOffset, wait: Duration) -> Result<Batch, Report<Error>> {
        let Some(peer) = self.next_source() else {
            return Err(Report::new(Error::Unavailable).attach("no peer is available as a source"));
        };
        let read = self.client.records(peer.control, from, wait).await;
        let read = read.map_err(|report| report.change_context(Error::Unavailable))?;
        read.ok_or_else(|| {
            Report::new(Error::Unavailable).attach("the peer does not hold these records")
        })
    }

    fn selection(&self) -> MutexGuard<'_, Selection> {
        self.selection
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Relay for Peers {
    fn is_reader(&self) -> bool {
        let roster = self.members.roster().borrow().clone();
        let selection = self.selection();
        selection
            .readers
            .is_reader(Instant::now(), &remaining_members(&roster))
    }

    async fn records(&self, from: LogOffset, wait: Duration) -> Result<Batch, Report<Error>> {
        let read = self.read(from, wait).await;
        if !read.as_ref().is_ok_and(is_news) {
            self.selection().readers.record_failure();
        }
        read
    }

    fn avoid(&self) {
        let mut selection = self.selection();
        if let Some(source) = selection.last_source.take() {
            selection.readers.avoid(Instant::now(), &source);
        }
    }

    async fn snapshot(&self) -> Result<Snapshot, Report<Error>> {
        let unavailable = || Report::new(Error::Unavailable);
        let roster = self.members.roster().borrow().clone();
        let mut ahead = roster.live();
        ahead.retain(|member| {
            let seen = roster.members.get(&member.name);
            seen.is_some_and(|seen| seen.position.log_next > 0)
        });
        let peer = ahead.choose(&mut rand::rng()).ok_or_else(unavailable)?;
        let read = self.client.snapshot(peer.control).await;
        let read = read.map_err(|report| report.change_context(Error::Unavailable))?;
        let read = read.ok_or_else(unavailable)?;
        let state = State::decode(&read.state);
        let state = state.map_err(|report| report.change_context(Error::Invalid))?;
        Ok(Snapshot {
            next: read.next,
            state,
        })
    }
}

/// Returns the members that are alive and not leaving.
fn remaining_members(roster: &Roster) -> Vec<&Member> {
    let mut live = roster.live();
    live.retain(|member| {
        let seen = roster.members.get(&member.name);
        seen.is_some_and(|seen| !seen.leaving)
    });
    live
}
