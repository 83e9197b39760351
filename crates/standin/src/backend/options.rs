//! How a stand-in behaves from its start.

use std::{net::SocketAddr, time::Duration};

use copperwell_keyspace::{UpstreamName, manifest::Fencing};

/// How a stand-in behaves from its start.
#[derive(Debug, Clone)]
pub struct Options {
    /// Its name in the record.
    pub name: UpstreamName,
    /// Where it listens; port 0 takes any free one, which it keeps when it restarts.
    pub address: SocketAddr,
    /// Requests that it runs at a time; further ones wait.
    pub slots: u32,
    /// Connections that it keeps; further ones are closed at once.
    pub connections: u32,
    /// Whether it checks the epoch of those who give it orders.
    pub fencing: Fencing,
    /// How long a request runs.
    pub service_time: Duration,
    /// How long a new connection waits before it is served.
    pub connect_time: Duration,
    /// Slower runs after a start.
    pub cold_start: ColdStart,
    /// After how long it starts again by itself when a request has crashed it.
    pub restart_after_crash: Option<Duration>,
}

/// Slower runs after a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ColdStart {
    /// How many requests after a start run slower.
    pub requests: u64,
    /// How much longer each of them runs.
    pub extra: Duration,
}

impl Options {
    /// A server with 6 slots and 130 connections that checks fencing and answers at once.
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
