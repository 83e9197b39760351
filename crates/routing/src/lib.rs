//! Routing of requests: configuration, registered upstreams, load balancing and retries.
//!
//! All functions decide on their inputs and a given time; there is no I/O in this crate.

use std::sync::Arc;

pub mod admission;
pub mod budget;
pub mod concurrency;
pub mod configuration;
pub mod evacuation;
pub mod freshness;
pub mod latency;
pub mod limit;
pub mod load;
pub mod quarantine;
pub mod reach;
pub mod registry;
pub mod retry;
pub mod schedule;
pub mod source;
pub mod stop;
pub mod warmup;

/// The name of a service.
pub type ServiceName = Arc<str>;

/// The name of a data centre.
pub type ZoneName = Arc<str>;

/// The name of a region, which has one or several data centres.
pub type RegionName = Arc<str>;

/// The name of an upstream, unique among the live ones.
pub type UpstreamId = Arc<str>;

/// The incarnation of an upstream: its start time in milliseconds of Unix time, which changes when the
/// upstream restarts under the same name.
pub type Incarnation = u64;

/// A key of a service that is partitioned by key.
pub type Key = u16;
