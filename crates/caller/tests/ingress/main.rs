//! Ingress over real sockets, with daemons that do what a test says.

mod fake;
mod join;
mod request;
mod route;
mod slow;
