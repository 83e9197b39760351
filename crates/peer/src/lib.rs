//! Communication between daemons: control calls, request streams and membership.

pub mod control;
pub mod dial;
pub mod link;
pub mod members;
mod wire;
