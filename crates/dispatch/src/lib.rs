//! The leader's request engine.
//!
//! The ownership driver writes the [`table::Table`]; the [`Engine`] reads it before every send.

pub use engine::Engine;
pub use observation::Observation;

mod engine;
mod gate;
pub mod observation;
pub mod table;
