//! The operators' side: checking, publishing and following manifests.

pub mod admin;
pub mod difference;
pub mod fleet;
pub mod load;
pub mod publish;
pub mod query;
pub mod status;
pub mod trace;
