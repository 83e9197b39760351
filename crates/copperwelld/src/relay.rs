//! The log's records by way of other daemons.

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

/// Reads the log from peers that read it themselves.
///
/// Its lock is never held across an await.
pub(crate) struct Peers {
    members: Arc<Members>,
    client: Client,
    choice: Mutex<Choice>,
}

struct Choice {
    readers: Readers,
    /// The source that was asked last.
    asked: Option<Member>,
}

impl Peers {
    pub(crate) fn new(me: Member, members: Arc<Members>, client: Client) -> Self {
        let choice = Choice {
            readers: Readers::new(me),
            asked: None,
        };
        Self {
            members,
            client,
            choice: Mutex::new(choice),
        }
    }

    /// The next source; noted as the one that was asked.
    fn choose(&self) -> Option<Member> {
        let roster = self.members.roster().borrow().clone();
        let mut choice = self.choice();
        let source = choice.readers.source(Instant::now(), &staying(&roster));
        choice.asked = source.cloned();
        choice.asked.clone()
    }

    async fn read(&self, from: LogOffset, wait: Duration) -> Result<Batch, Report<Error>> {
        let Some(peer) = self.choose() else {
            return Err(Report::new(Error::Unavailable).attach("no peer is known"));
        };
        let read = self.client.records(peer.control, from, wait).await;
        let read = read.map_err(|report| report.change_context(Error::Unavailable))?;
        read.ok_or_else(|| Report::new(Error::Unavailable).attach("the peer holds no such records"))
    }

    fn choice(&self) -> MutexGuard<'_, Choice> {
        self.choice.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Relay for Peers {
    fn is_reader(&self) -> bool {
        let roster = self.members.roster().borrow().clone();
        let choice = self.choice();
        choice.readers.is_reader(Instant::now(), &staying(&roster))
    }

    async fn records(&self, from: LogOffset, wait: Duration) -> Result<Batch, Report<Error>> {
        let read = self.read(from, wait).await;
        if !read.as_ref().is_ok_and(is_news) {
            self.choice().readers.record_failure();
        }
        read
    }

    fn avoid(&self) {
        let mut choice = self.choice();
        if let Some(source) = choice.asked.take() {
            choice.readers.avoid(Instant::now(), &source);
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

/// The members that are alive and stay.
fn staying(roster: &Roster) -> Vec<&Member> {
    let mut live = roster.live();
    live.retain(|member| {
        let seen = roster.members.get(&member.name);
        seen.is_some_and(|seen| !seen.leaving)
    });
    live
}
