//! The operators' side: what daemons tell about themselves, publishing and following.

pub mod status;
