//! Daemons as processes of their own, under the faults that strike them.
//!
//! What the servers held and ran, by their own word, tells whether a promise was broken.

mod answers;
mod combined;
mod data_centre_loss;
mod drain;
mod leader;
mod log;
mod partition;
mod publish;
mod readers;
mod refuse;
mod replace;
mod request;
mod silence;
mod stop;
mod support;
mod test_request;
mod upstream;
