#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-2/Cargo.toml --target-dir target/review
