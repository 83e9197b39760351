//! Stand-ins for the platform and backend servers, the fault proxy and the load tool.

pub mod backend;
pub mod platform;
pub mod proxy;
