//! Daemons as processes of their own, under the faults that strike them.
//!
//! What the servers held and ran, by their own word, tells whether a promise was broken.

mod answers;
mod ask;
mod drain;
mod leader;
mod log;
mod lost;
mod partition;
mod publish;
mod readers;
mod refuse;
mod replace;
mod request;
mod silence;
mod stop;
mod support;
mod together;
mod upstream;
