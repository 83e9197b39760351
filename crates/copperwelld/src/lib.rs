//! The entry daemon: ingress for callers and leader of groups.

pub mod daemon;
pub mod log;
pub mod settings;

mod admin;
mod appointer;
mod confirm;
mod core;
mod listeners;
mod metrics;
mod network;
mod parts;
mod relay;
mod status;
mod stop;
mod watch;
