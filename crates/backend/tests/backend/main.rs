//! The backend client against a stand-in server and a fault proxy.

mod answer;
mod client;
mod pool;
mod setup;
mod storm;
