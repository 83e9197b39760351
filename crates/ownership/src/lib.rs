//! Drives the groups that a daemon leads: fences, grants, renewals and moves.
//!
//! Lock order: the map of groups, then the table's locks. No lock is held across an await.

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
