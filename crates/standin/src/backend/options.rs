//! The options with which a stand-in starts.

use std::{net::SocketAddr, time::Duration};

use copperwell_keyspace::{UpstreamName, manifest::Fencing};

/// The options with which a stand-in starts.
#[derive(Debug, Clone)]
pub struct Options {
    /// The server's name in the record.
    pub name: UpstreamName,
    /// The address to listen on; port 0 picks a free port, which is kept across restarts.
    pub address: SocketAddr,
    /// The number of requests that run at the same time; further ones wait for a slot.
    pub slots: u32,
    /// The highest number of open connections; further ones are closed at once.
    pub connections: u32,
    /// Whether the server checks the epochs and grants of orders and requests.
    pub fencing: Fencing,
    /// The service time of a request.
    pub service_time: Duration,
    /// The delay before a new connection is served.
    pub connect_time: Duration,
    /// A longer service time for the first requests after a start.
    pub cold_start: ColdStart,
    /// The delay after which the server restarts by itself when a request has crashed it.
    pub restart_after_crash: Option<Duration>,
}

/// A longer service time for the first requests after a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ColdStart {
    /// The number of requests after a start that run longer.
    pub requests: u64,
    /// The time added to the service time of each of them.
    pub extra: Duration,
}

impl Options {
    /// Creates options for a server with 6 slots and 130 connections that checks fencing and
    /// answers at once.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: 6,
            connections: 130,
            fencing: Fencing::Checked,
            service_time: Duration::ZERO,
            connect_time: Duration::ZERO,
            cold_start: ColdStart::default(),
            restart_after_crash: None,
        }
    }
}
