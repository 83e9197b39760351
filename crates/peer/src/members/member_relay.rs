//! A relay that forwards requests to live members only.

use std::{net::SocketAddr, sync::Arc};

use super::{Liveness, Roster};
use crate::link::{Links, Relay};
use copperwell_message::{Reason, Request, Response, Verdict};
use tokio::sync::watch;

/// Forwards requests to live members, and refuses all other targets.
#[derive(Debug, Clone)]
pub struct MemberRelay {
    links: Links,
    roster: watch::Receiver<Arc<Roster>>,
}

impl MemberRelay {
    /// Creates a relay that sends over `links` to the live members of `roster`.
    #[must_use]
    pub fn new(links: Links, roster: watch::Receiver<Arc<Roster>>) -> Self {
        Self { links, roster }
    }

    fn is_live_member(&self, target: SocketAddr) -> bool {
        let roster = self.roster.borrow();
        let mut members = roster.members.values();
        members
            .any(|status| status.member.requests == target && status.liveness <= Liveness::Suspect)
    }
}

impl Relay for MemberRelay {
    async fn relay(&self, target: SocketAddr, request: Request) -> Response {
        if self.is_live_member(target) {
            self.links.send(target, request).await
        } else {
            Response::refusal(Verdict::NotRun, Reason::NoLeader)
        }
    }
}
