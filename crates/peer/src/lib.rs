//! Links between daemons: control calls, request streams and who is alive.

pub mod control;
pub mod dial;
pub mod link;
pub mod members;
mod wire;
