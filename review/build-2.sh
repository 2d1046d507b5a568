#!/bin/sh
# Builds the stand-ins of the second review's scripts, with nothing but the toolchain.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -A dead_code -o target/review-2/standin review/kit-2/main.rs
