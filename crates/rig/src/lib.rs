//! Clusters of daemons and stand-ins on loopback, for tests, experiments and the demo.

pub mod load;
pub mod scenario;
pub mod schedule;
