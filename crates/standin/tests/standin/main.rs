//! Tests of the stand-in backend server, its record and the fault proxy.

mod grants;
mod proxy;
mod record;
mod server;
