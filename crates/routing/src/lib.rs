//! Routes, live upstreams, and which of them a request goes to.
//!
//! Everything here is a decision over inputs and a given time; sockets stay elsewhere.

use std::sync::Arc;

pub mod admission;
pub mod budget;
pub mod configuration;
pub mod latency;
pub mod load;
pub mod quarantine;
pub mod registry;
pub mod retry;
pub mod source;

/// The name of a service.
pub type ServiceName = Arc<str>;

/// The name of a data centre.
pub type ZoneName = Arc<str>;

/// The name of one upstream, unique among all that are alive.
pub type UpstreamId = Arc<str>;

/// The start of an upstream's run, in milliseconds of Unix time; an upstream that starts again
/// under its old name has another.
pub type Birth = u64;

/// A key of a service that is divided by key.
pub type Key = u16;
