//! Daemons as processes of their own, under the faults that strike them.
//!
//! What the servers held and ran, by their own word, tells whether a promise was broken.

mod ask;
mod drain;
mod leader;
mod log;
mod partition;
mod publish;
mod readers;
mod replace;
mod request;
mod stop;
mod support;
mod upstream;
