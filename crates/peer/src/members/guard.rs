//! Relaying to members only.

use std::{net::SocketAddr, sync::Arc};

use super::{Liveness, Roster};
use crate::link::{Links, Relay};
use copperwell_message::{Reason, Request, Response, Verdict};
use tokio::sync::watch;

/// Passes requests on to live members, and to nobody else.
#[derive(Debug, Clone)]
pub struct Guard {
    links: Links,
    roster: watch::Receiver<Arc<Roster>>,
}

impl Guard {
    /// Sends over `links` to members of `roster`.
    #[must_use]
    pub fn new(links: Links, roster: watch::Receiver<Arc<Roster>>) -> Self {
        Self { links, roster }
    }

    fn knows(&self, target: SocketAddr) -> bool {
        let roster = self.roster.borrow();
        let mut live = roster.members.values();
        live.any(|seen| seen.member.requests == target && seen.liveness <= Liveness::Suspect)
    }
}

impl Relay for Guard {
    async fn relay(&self, target: SocketAddr, request: Request) -> Response {
        if self.knows(target) {
            self.links.send(target, request).await
        } else {
            Response::refusal(Verdict::NotRun, Reason::NoLeader)
        }
    }
}
