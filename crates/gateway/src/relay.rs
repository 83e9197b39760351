//! Sends requests through other daemons to upstreams that this one does not reach.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use crate::fingerprint::Identity;
use copperwell_assignment::reach::Helper;
use copperwell_memory::Budget;
use copperwell_message::{Body, Class, HashMap, Head, Reason, Repeat, Request, Response, Verdict};
use copperwell_peer::link::Links;
use copperwell_routing::{UpstreamId, ZoneName};
use http::{HeaderName, HeaderValue, Uri, request::Parts};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};
use rand::seq::IteratorRandom;
use tokio::{sync::watch, time::Instant};
use uuid::Uuid;

/// How long a daemon that could not be reached is not asked again.
const FAILURE_PAUSE: Duration = Duration::from_secs(2);

/// The name of the header field with what other daemons need to know of a request.
const TERMS: &str = "copperwell-relay";

/// Sends requests through other daemons.
#[derive(Debug)]
pub(crate) struct Relay {
    links: Links,
    helpers: Arc<watch::Sender<Vec<Helper>>>,
    zone: ZoneName,
    failed: Mutex<HashMap<SocketAddr, Instant>>,
    relayed: Family<OutcomeLabel, Counter>,
}

/// What the daemon that helps needs to know of a request, apart from what its caller has sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Terms {
    /// The version of the configuration by which the request was matched to its route.
    pub(crate) configuration: u64,
    /// How many upstreams the request may still be sent to.
    pub(crate) attempts: u32,
}

/// A request that is to be sent through another daemon.
#[derive(Debug)]
pub(crate) struct Outgoing<'a> {
    pub(crate) parts: &'a Parts,
    pub(crate) body: Body,
    pub(crate) identity: &'a Identity,
    pub(crate) terms: Terms,
    /// The time left until the deadline.
    pub(crate) time_left: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

impl Relay {
    pub(crate) fn new(helpers: Arc<watch::Sender<Vec<Helper>>>, zone: ZoneName) -> Self {
        Self {
            links: Links::new(),
            helpers,
            zone,
            failed: Mutex::default(),
            relayed: Family::default(),
        }
    }

    /// Buffers no more of responses than `budget` has room for.
    pub(crate) fn with_budget(self, budget: Budget) -> Self {
        Self {
            links: Links::with_budget(budget),
            ..self
        }
    }

    pub(crate) fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("gateway");
        registry.register(
            "relayed",
            "Requests sent through other daemons, by outcome",
            self.relayed.clone(),
        );
    }

    /// Returns a daemon that reaches one of `upstreams`, is none of `tried` and in a data centre for which `is_allowed`
    /// holds; one of this data centre, if possible.
    pub(crate) fn choose<'a>(
        &self,
        upstreams: impl IntoIterator<Item = &'a UpstreamId> + Clone,
        tried: &[SocketAddr],
        is_allowed: impl Fn(&str) -> bool,
    ) -> Option<SocketAddr> {
        let now = Instant::now();
        let mut failed = self.failed.lock().unwrap_or_else(PoisonError::into_inner);
        failed.retain(|_, at| now < *at + FAILURE_PAUSE);
        let helpers = self.helpers.borrow();
        let is_usable = |helper: &&Helper| {
            let mut needed = upstreams.clone().into_iter();
            !tried.contains(&helper.address)
                && is_allowed(&helper.zone)
                && !failed.contains_key(&helper.address)
                && needed.any(|id| helper.reaches(id))
        };
        let usable = helpers.iter().filter(is_usable);
        let near = usable.clone().filter(|helper| helper.zone == self.zone);
        let mut random = rand::rng();
        let chosen = near
            .choose(&mut random)
            .or_else(|| usable.choose(&mut random));
        if chosen.is_none() {
            self.count("no-helper");
        }
        chosen.map(|helper| helper.address)
    }

    /// Sends a request through the daemon at `to`.
    pub(crate) async fn send(&self, to: SocketAddr, outgoing: Outgoing<'_>) -> Response {
        let request = Request {
            head: head_of(&outgoing),
            body: outgoing.body,
        };
        let mut guard = OutcomeGuard {
            relay: self,
            outcome: "broken-off",
        };
        let response = self.links.send(to, request).await;
        let reason = response.reply.reason;
        if matches!(reason, Some(Reason::NoLeader | Reason::Protocol)) {
            let mut failed = self.failed.lock().unwrap_or_else(PoisonError::into_inner);
            failed.insert(to, Instant::now());
        }
        guard.outcome = reason.map_or("answered", Reason::as_str);
        response
    }

    fn count(&self, outcome: &'static str) {
        self.relayed.get_or_create(&OutcomeLabel { outcome }).inc();
    }
}

/// Counts how a relayed request ends, also if it is dropped before.
struct OutcomeGuard<'a> {
    relay: &'a Relay,
    outcome: &'static str,
}

impl Drop for OutcomeGuard<'_> {
    fn drop(&mut self) {
        self.relay.count(self.outcome);
    }
}

/// Returns whether a request that a daemon has not passed on may be sent through another one.
pub(crate) fn is_untried(response: &Response) -> bool {
    response.reply.verdict == Verdict::NotRun
        && matches!(
            response.reply.reason,
            Some(
                Reason::NoLeader
                    | Reason::Protocol
                    | Reason::Stopping
                    | Reason::ServiceLimit
                    | Reason::NoConfiguration
                    | Reason::ConnectionRefused
                    | Reason::NoUpstream
            )
        )
}

fn head_of(outgoing: &Outgoing<'_>) -> Head {
    let Outgoing {
        parts,
        identity,
        terms,
        ..
    } = outgoing;
    let own = |name: &HeaderName| name.as_str() == TERMS;
    let callers = parts.headers.iter().filter(|(name, _)| !own(name));
    let headers =
        callers.map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()));
    let terms = (TERMS.to_owned(), terms.encode().into_bytes());
    Head {
        id: Uuid::new_v4(),
        service: String::new(),
        key: String::new(),
        shard: 0,
        class: Class::Interactive,
        // The daemon that helps decides by its own routes.
        repeat: Repeat::Repeatable,
        deadline: outgoing.time_left,
        caller: identity.caller,
        fingerprint: identity.fingerprint,
        method: parts.method.as_str().to_owned(),
        path: parts.uri.to_string(),
        headers: headers.chain([terms]).collect(),
        hops: 0,
    }
}

/// Returns the caller's request and the terms of a relayed one; `None` if they are malformed.
pub(crate) fn parts_of(head: Head) -> Option<(Parts, Terms, Identity)> {
    let (mut parts, ()) = http::Request::new(()).into_parts();
    parts.method = head.method.parse().ok()?;
    parts.uri = head.path.parse::<Uri>().ok()?;
    let mut terms = None;
    for (name, value) in head.headers {
        if name == TERMS {
            terms = Terms::parse(std::str::from_utf8(&value).ok()?);
            continue;
        }
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        parts
            .headers
            .append(name, HeaderValue::from_bytes(&value).ok()?);
    }
    let caller: IpAddr = head.caller;
    let identity = Identity {
        fingerprint: head.fingerprint,
        ..Identity::new(caller, &parts, b"")
    };
    Some((parts, terms?, identity))
}

impl Terms {
    fn encode(self) -> String {
        format!("{} {}", self.configuration, self.attempts)
    }

    fn parse(text: &str) -> Option<Self> {
        let (configuration, attempts) = text.split_once(' ')?;
        Some(Self {
            configuration: configuration.parse().ok()?,
            attempts: attempts.parse().ok()?,
        })
    }
}
