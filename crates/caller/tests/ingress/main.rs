//! Ingress over real sockets, with fake daemons.

mod fake;
mod multi_key;
mod request;
mod route;
mod slow;
