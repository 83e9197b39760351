//! Sends callers' requests straight to upstreams that register themselves.
//!
//! [`Gateway`] takes a request, finds its route, chooses an upstream and sends it there, once or more
//! often. What it goes by stands in [`Beliefs`], which [`watch`] keeps up to date.

pub use beliefs::Beliefs;
pub use dialect::{Asked, Dialect, Outbound};
pub use gateway::Gateway;

pub mod beliefs;
pub mod dialect;
pub mod gateway;
pub mod metrics;
pub mod watch;

mod attempts;
mod crash_tracker;
mod queue;
mod refusal;
mod request_log;
mod selector;
