//! The log's records by way of other daemons.

use std::{sync::Arc, time::Duration};

use copperwell_keyspace::{LogOffset, Member, record::Snapshot, replay::State};
use copperwell_peer::{control::Client, members::Members};
use copperwell_platform::{Batch, Error, Relay};
use error_stack::Report;
use rand::seq::IndexedRandom;
use tokio::time::{Instant, sleep};

/// How often the members' positions in the log are looked at.
const LOOK: Duration = Duration::from_millis(100);

/// Reads the log from peers that are further along.
pub(crate) struct Peers {
    members: Arc<Members>,
    client: Client,
}

impl Peers {
    pub(crate) fn new(members: Arc<Members>, client: Client) -> Self {
        Self { members, client }
    }

    /// A live member that has read beyond `from`.
    fn ahead(&self, from: LogOffset) -> Option<Member> {
        let roster = self.members.roster().borrow().clone();
        let live = roster.live();
        let ahead: Vec<&&Member> = live
            .iter()
            .filter(|member| {
                let seen = roster.members.get(&member.name);
                seen.is_some_and(|seen| seen.position.log_next > from)
            })
            .collect();
        ahead
            .choose(&mut rand::rng())
            .map(|member| (**member).clone())
    }

    async fn wait_ahead(&self, from: LogOffset, wait: Duration) -> Option<Member> {
        let until = Instant::now() + wait;
        loop {
            if let Some(member) = self.ahead(from) {
                return Some(member);
            }
            if Instant::now() >= until {
                return None;
            }
            sleep(LOOK).await;
        }
    }
}

impl Relay for Peers {
    async fn records(&self, from: LogOffset, wait: Duration) -> Result<Batch, Report<Error>> {
        let Some(peer) = self.wait_ahead(from, wait).await else {
            return Err(Report::new(Error::Unavailable).attach("no peer has read further"));
        };
        let read = self.client.records(peer.control, from).await;
        let read = read.map_err(|report| report.change_context(Error::Unavailable))?;
        read.ok_or_else(|| Report::new(Error::Unavailable).attach("the peer holds no such records"))
    }

    async fn snapshot(&self) -> Result<Snapshot, Report<Error>> {
        let unavailable = || Report::new(Error::Unavailable);
        let peer = self.ahead(0).ok_or_else(unavailable)?;
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
