//! What operators do with a running system: load, compare and publish manifests, read the status
//! of daemons and trace requests.

pub mod admin;
pub mod difference;
pub mod fleet;
pub mod load;
pub mod publish;
pub mod query;
pub mod status;
pub mod trace;
