//! Runs the leader tasks of the groups that a daemon leads: fencing, grants, renewals and moves.
//!
//! Lock order: the map of groups, then the locks of the routing table. No lock is held across an
//! await.

pub use event::{Event, Evidence, Observation};
pub use groups::Groups;
pub use status::{Status, UpstreamStatus};

mod counter;
mod event;
mod groups;
mod leader;
mod load;
mod order;
mod rival;
mod status;
