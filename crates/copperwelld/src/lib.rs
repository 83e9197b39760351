//! The entry daemon: ingress for callers and leader of groups.

pub mod log;
pub mod settings;
