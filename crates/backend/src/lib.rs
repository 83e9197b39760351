//! Client for backend servers: sends them control orders and requests.

use std::net::SocketAddr;

use copperwell_keyspace::manifest::Upstream;
use copperwell_message::{Request, Response};
use order::{Fence, Fenced, Give, Held, Order, Refusal, Release, Renew};

pub use client::Client;
pub use pool::Pool;

pub mod call;
pub mod client;
pub mod connection;
pub mod exchange;
pub mod framing;
pub mod head;
pub mod lane;
pub mod metrics;
pub mod order;
mod outgoing;
pub mod pool;
pub mod probe;
mod traffic;

/// Sends control orders to backend servers.
pub trait Control: Send + Sync + 'static {
    /// Fences a server with a new epoch, so that it rejects lower ones.
    ///
    /// # Errors
    ///
    /// A [`Failure`] if the server did not accept the order, or if that is unknown.
    fn fence(
        &self,
        to: SocketAddr,
        order: &Fence,
    ) -> impl Future<Output = Result<Fenced, Failure>> + Send;

    /// Grants shards to a server.
    ///
    /// # Errors
    ///
    /// A [`Failure`] if the server did not accept the order, or if that is unknown.
    fn give(
        &self,
        to: SocketAddr,
        order: &Give,
    ) -> impl Future<Output = Result<Held, Failure>> + Send;

    /// Renews a server's grants.
    ///
    /// # Errors
    ///
    /// A [`Failure`] if the server did not accept the order, or if that is unknown.
    fn renew(
        &self,
        to: SocketAddr,
        order: &Renew,
    ) -> impl Future<Output = Result<Held, Failure>> + Send;

    /// Revokes shards from a server.
    ///
    /// # Errors
    ///
    /// A [`Failure`] if the server did not accept the order, or if that is unknown.
    fn release(
        &self,
        to: SocketAddr,
        order: &Release,
    ) -> impl Future<Output = Result<Held, Failure>> + Send;
}

/// Sends requests to backend servers.
pub trait Forward: Send + Sync + 'static {
    /// Sends one request and returns its response, with a body that may still be streaming.
    ///
    /// A failure is reported as a response with a verdict. Dropping the future cancels the request.
    fn forward(
        &self,
        upstream: &Upstream,
        order: Order,
        request: Request,
    ) -> impl Future<Output = Response> + Send;
}

/// Why a control order failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The server rejected the order as stale.
    Fenced(Refusal),
    /// No connection could be made, so the order did not arrive.
    Unreachable,
    /// The order was sent but not answered; it may have taken effect.
    Silent,
    /// The answer was invalid; holds its HTTP status, or 0 if the order could not be serialized.
    Invalid(u16),
}
