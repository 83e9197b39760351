//! The backend client against a stand-in server and a fault proxy.

mod answer;
mod call;
mod client;
mod endless;
mod pool;
mod random_faults;
mod setup;
mod statuses;
