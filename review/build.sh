#!/usr/bin/env bash
# Builds the stand-ins of the cases, without a network; the packages are those of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --offline --locked --release --manifest-path review/standins/Cargo.toml --target-dir target/review
