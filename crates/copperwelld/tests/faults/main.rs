//! Daemons as processes of their own, under the faults that strike them.
//!
//! What the servers held and ran, by their own word, tells whether a promise was broken.

mod leader;
mod support;
mod upstream;
