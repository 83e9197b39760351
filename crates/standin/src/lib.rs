//! Stand-ins for what surrounds the system, for tests and demonstrations.

pub mod platform;
