//! Orders to upstreams and their outcomes.

use std::{net::SocketAddr, time::Duration};

use crate::{Fence, Holder};
use copperwell_routing::Key;

/// An order to one upstream about one range of keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The upstream that receives the order.
    pub holder: Holder,
    /// The address of that upstream.
    pub address: SocketAddr,
    /// The first key.
    pub first: Key,
    /// The last key, inclusive.
    pub last: Key,
    /// The fencing token.
    pub fence: Fence,
    /// What the upstream is to do.
    pub action: Action,
}

/// What an order asks of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Hold the keys for a time that starts when the order arrives.
    Grant {
        /// How long the grant lasts.
        hold: Duration,
        /// A text that the last holder of the keys left for the next one.
        handover: Option<String>,
    },
    /// Accept no new work for the keys, and answer once the work in progress has ended.
    Release,
}

/// The outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream carried it out.
    Done {
        /// A text that a releasing holder leaves for the next one.
        handover: Option<String>,
    },
    /// The upstream has seen a higher fencing token.
    Fenced,
    /// Another upstream has the address, so the process that the order was meant for has ended.
    Misdirected,
    /// The connection or the order was refused; the order will not be carried out.
    Refused,
    /// The order was not sent, since no connection could be established in time.
    Unsent,
    /// No answer arrived in time. The order may be carried out later, and then counts from its
    /// arrival.
    Unknown,
    /// No answer arrived in time on a new connection. A busy upstream reads from a new connection
    /// only once it has capacity, so the order may count from a much later time.
    UnreadOnNewConnection,
    /// The answer belongs to another order. The order may be carried out later, and then counts from its arrival.
    Foreign,
    /// The connection broke. The order may have been carried out, and another run may be listening
    /// at the address now.
    Broken,
}

/// The timeouts of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// The timeout on a connection on which an answer has arrived before.
    pub answered: Duration,
    /// The timeout on a new connection, from which a busy upstream reads only once it has capacity.
    pub new: Duration,
}

/// Sends orders to upstreams.
pub trait Sender: Send + Sync + 'static {
    /// Sends an order and returns its outcome within `timeouts`.
    ///
    /// Once this has returned, no part of the order is sent any more.
    fn send(&self, order: &Order, timeouts: Timeouts) -> impl Future<Output = Outcome> + Send;
}
