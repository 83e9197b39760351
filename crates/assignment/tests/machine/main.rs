//! The leader's state machine, with servers, a store and successors that fail at random.

mod random;
mod simulation;
mod steps;
