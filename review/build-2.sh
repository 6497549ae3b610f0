#!/bin/sh
# Builds the stand-ins of the second review (review/standins-2). Needs no network: no crate besides the standard library.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --quiet --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
