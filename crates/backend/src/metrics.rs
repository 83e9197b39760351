//! Counters of connections and requests to servers.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

/// Counters of a [`Pool`](crate::Pool), shared by clones.
#[derive(Debug, Clone, Default)]
pub struct Metrics {
    pub(crate) opened: Counter,
    pub(crate) closed: Family<Label, Counter>,
    pub(crate) failed: Family<Label, Counter>,
    pub(crate) reused: Counter,
    pub(crate) resent: Counter,
    pub(crate) bytes: Counter,
}

/// Why a connection was closed or a request failed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Label {
    reason: &'static str,
}

impl Label {
    pub(crate) fn new(reason: &'static str) -> Self {
        Self { reason }
    }
}

impl Metrics {
    /// Registers the counters under the prefix `backend`.
    pub fn register(&self, registry: &mut Registry) {
        let backend = registry.sub_registry_with_prefix("backend");
        backend.register(
            "connections_opened",
            "Connections opened to servers",
            self.opened.clone(),
        );
        backend.register(
            "connections_closed",
            "Connections to servers that this side closed, by reason",
            self.closed.clone(),
        );
        backend.register(
            "connections_reused",
            "Requests sent on an idle connection",
            self.reused.clone(),
        );
        backend.register(
            "requests_failed",
            "Requests without a server's answer, by reason",
            self.failed.clone(),
        );
        backend.register(
            "request_bytes",
            "Bytes sent and received on connections for requests",
            self.bytes.clone(),
        );
        backend.register(
            "requests_resent",
            "Requests sent again because an idle connection had closed before it took them",
            self.resent.clone(),
        );
    }
}
