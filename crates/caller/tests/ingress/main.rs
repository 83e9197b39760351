//! Ingress over real sockets, with daemons that do what a test says.

mod fake;
mod multi_key;
mod request;
mod route;
mod slow;
