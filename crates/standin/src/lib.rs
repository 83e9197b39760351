//! Stand-ins for the platform and for backend servers, and a fault-injection proxy.

pub mod backend;
pub mod platform;
pub mod proxy;
