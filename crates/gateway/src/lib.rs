//! Forwards callers' requests directly to upstreams that register themselves.
//!
//! [`Gateway`] matches a request to its route, selects an upstream and sends the request there, with
//! retries where they are allowed. Routing decisions are based on [`View`], which [`watch`] keeps up
//! to date.

pub use crash_tracker::CrashTracker;
pub use dialect::{Dialect, Metadata, Outbound};
pub use gateway::{Gateway, route_of};
pub use view::{Evacuation, View};

pub mod dialect;
pub mod gateway;
pub mod metrics;
pub mod paths;
pub mod view;
pub mod watch;

mod attempts;
mod crash_tracker;
mod fingerprint;
mod line_limit;
mod list_log;
mod pools;
mod queue;
mod rejection;
mod relay;
mod request_log;
mod returns;
mod selector;
mod trail;
mod warmup;
