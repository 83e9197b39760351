//! The leader's request engine.
//!
//! The ownership driver writes the [`table::Table`]; the engine reads it before every send.

pub mod table;
