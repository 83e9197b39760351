//! Which upstream holds which keys of a service that is divided by key.
//!
//! One daemon leads: it plans, writes the plan to the store, and only then grants keys to upstreams.
//! The others ask it for the table that they route by, and tell it which keys are asked for.
//! `docs/design/platform.md` says why no key has two holders.

use std::sync::Arc;

use copperwell_routing::{Birth, UpstreamId};
use serde::{Deserialize, Serialize};

pub mod balance;
pub mod clock;
pub mod demand;
pub mod driver;
pub mod exchange;
pub mod lease;
pub mod machine;
pub mod metrics;
pub mod news;
pub mod order;
pub mod pace;
pub mod plan;
pub mod register;
pub mod table;
pub mod turn;
pub mod update;

/// The fencing token of a grant; upstreams refuse a lower one than they have seen for a key.
pub type Fence = u64;

/// The name of a daemon.
pub type DaemonName = Arc<str>;

/// One run of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// Its name.
    pub id: UpstreamId,
    /// The start of its run.
    pub born: Birth,
}
