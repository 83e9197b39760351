//! Tests of replay, reader, validation, rebalancing and decoders.

mod balance;
mod check;
mod decode;
mod difference;
mod reader;
mod replay;
mod runs;
mod sample;
