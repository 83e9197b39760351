//! Pure decisions over inputs and a given time; sockets stay elsewhere.

pub mod appoint;
pub mod suspicion;
