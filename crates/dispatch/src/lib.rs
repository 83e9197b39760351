//! The leader's request engine.
//!
//! The ownership driver writes the [`table::Table`]; the [`Engine`] reads it before every send.

pub use engine::Engine;
pub use observation::Observation;
pub use status::{HotKey, Status};

mod answer;
mod attempt;
mod call;
mod cell;
mod engine;
mod gate;
mod gauges;
mod guard;
mod hot;
mod ids;
mod metrics;
mod observation;
mod once;
mod serving;
mod status;
pub mod table;
mod target;
