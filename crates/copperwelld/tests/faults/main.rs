//! Fault injection on a cluster of daemon processes.
//!
//! The servers record which shards they held and which requests they ran; the tests check the
//! guarantees against these records.

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
