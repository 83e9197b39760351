//! Request links over real sockets.

mod bodies;
mod connection;
mod ends;
mod protocol;
#[path = "../proxy/mod.rs"]
mod proxy;
mod raw;
mod relay;
mod support;
