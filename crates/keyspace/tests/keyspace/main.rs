//! Tests of replay, reader, checks and decoders.

mod balance;
mod check;
mod decode;
mod difference;
mod reader;
mod replay;
mod runs;
mod sample;
