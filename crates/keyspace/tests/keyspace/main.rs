//! Tests of replay, reader, checks and decoders.

mod reader;
mod replay;
mod sample;
