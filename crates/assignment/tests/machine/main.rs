//! The leader's decisions against servers, a store and successors that fail at random.

mod random;
mod steps;
mod world;
