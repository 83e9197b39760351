//! Pure decisions over inputs and a given time.

pub mod group;
pub mod placement;
