//! A stand-in for a backend server.
//!
//! Lock order: the server's run, then its grants, then the record. No lock is held across an
//! await.

pub use options::Options;
pub use record::Record;
pub use server::Server;
pub use service::Echo;
pub use switch::Counts;

mod gate;
pub mod grants;
pub mod options;
mod process;
pub mod record;
mod server;
mod service;
pub mod switch;
