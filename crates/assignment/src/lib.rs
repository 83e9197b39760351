//! Assignment of key ranges to the upstreams of a service whose keys are sharded.
//!
//! One daemon is the leader: it makes the plan, writes it to the store, and only then grants key
//! ranges to upstreams. The other daemons fetch the routing table from the leader and report the
//! load of each key to it. `docs/design/platform.md` explains why no key has two holders.

use std::sync::Arc;

use copperwell_routing::{Incarnation, UpstreamId};
use serde::{Deserialize, Serialize};

pub mod balance;
pub mod clock;
pub mod demand;
pub mod driver;
pub mod election;
pub mod exchange;
pub mod expiry;
pub mod lease;
pub mod limits;
pub mod machine;
pub mod metrics;
pub mod order;
pub mod pace;
pub mod plan;
pub mod quarantine;
pub mod reach;
pub mod register;
pub mod shared;
pub mod store_state;
pub mod table;
pub mod transfer;
pub mod update;
pub mod warmup;

/// A fencing token of a grant. An upstream refuses a token lower than the highest that it has seen
/// for a key.
pub type Fence = u64;

/// The name of a daemon.
pub type DaemonName = Arc<str>;

/// One run of an upstream process.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The name of the upstream.
    pub id: UpstreamId,
    /// When the run started.
    pub born: Incarnation,
}
