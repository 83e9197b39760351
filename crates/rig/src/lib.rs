//! Clusters of daemons and stand-ins on loopback, for tests, experiments and the demo.

pub mod scenario;
