#!/usr/bin/env bash
# Builds the stand-ins of the cases 9 to 13, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/kit-3/Cargo.toml --target-dir target/review-3
