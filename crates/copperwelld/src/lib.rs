//! The entry daemon: ingress for callers and leader of groups, or a gateway on the users' platform.

pub mod daemon;
pub mod gateway;
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
mod reload;
mod status;
mod stop;
mod watch;
