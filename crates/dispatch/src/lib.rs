//! The request engine of a leader.
//!
//! The ownership driver writes the [`table::Table`]; the [`Engine`] reads it before every send.

pub use engine::Engine;
pub use observation::Observation;
pub use status::{HotKey, Status};

mod answer;
mod at_most_once;
mod attempt;
mod call;
mod config;
mod engine;
mod gauges;
mod hot_keys;
mod idempotency;
mod lazy_limiter;
mod limiter;
mod metrics;
mod observation;
mod quarantine;
mod status;
pub mod table;
mod target;
