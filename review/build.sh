#!/bin/sh
# Builds the driver of the scripts in this folder with the project's own stand-ins in it.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/kit/Cargo.toml --target-dir target/review
