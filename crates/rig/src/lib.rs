//! Clusters of daemons and stand-ins on loopback, with load and faults, for tests, experiments and
//! the demo.

pub mod cluster;
pub mod difference;
pub mod faults;
pub mod load;
pub mod measure;
pub mod naive;
pub mod node;
pub mod probe;
pub mod run;
pub mod scenario;
pub mod schedule;
pub mod usage;
