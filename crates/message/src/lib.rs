//! The request as every hop sees it: head, body, reply and verdict.
//!
//! A caller's request passes ingress, leader and backend client as one [`Request`]. Each hop
//! implements [`Serve`], so hops can be stacked and tested on their own.

pub use body::{Body, Sender, Severed};
pub use head::{Class, Head, Repeat, Reply, Request, Response};
pub use map::{HashMap, HashSet};
pub use verdict::{Reason, Verdict};

mod body;
mod head;
mod map;
mod verdict;

/// Turns a request into a response; a failure is a response too, with its [`Verdict`].
pub trait Serve: Send + Sync + 'static {
    /// Serves one request.
    ///
    /// Dropping the returned future cancels the request.
    fn serve(&self, request: Request) -> impl Future<Output = Response> + Send;
}

impl<T: Serve> Serve for std::sync::Arc<T> {
    fn serve(&self, request: Request) -> impl Future<Output = Response> + Send {
        T::serve(self, request)
    }
}
