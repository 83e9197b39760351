//! A stand-in for a backend server, with fault injection and a record of what it did.
//!
//! Lock order: the server's process, then the process's state, then the record. No lock is held
//! across an await.

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
