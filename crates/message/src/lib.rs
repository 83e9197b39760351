//! Requests and responses as they pass between hops: heads, bodies and verdicts.
//!
//! A caller's request passes through ingress, leader and backend client as one [`Request`]. Each
//! hop implements [`Serve`], so that hops can be composed, and tested on their own.

pub use body::{Body, Incomplete, Sender};
pub use head::{Class, Head, Repeat, Reply, Request, Response, is_final};
pub use map::{HashMap, HashSet};
pub use verdict::{Reason, Verdict};

mod body;
mod head;
mod map;
mod verdict;

/// A hop that turns a request into a response.
///
/// A failure is a response too, with its [`Verdict`].
pub trait Serve: Send + Sync + 'static {
    /// Serves a request; dropping the returned future cancels it.
    fn serve(&self, request: Request) -> impl Future<Output = Response> + Send;
}

impl<T: Serve> Serve for std::sync::Arc<T> {
    fn serve(&self, request: Request) -> impl Future<Output = Response> + Send {
        T::serve(self, request)
    }
}
