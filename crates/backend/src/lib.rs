//! The client's side of a backend server: control orders and requests.

pub mod order;
