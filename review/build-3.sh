#!/bin/sh
# Builds the stand-ins of the third review: one program, by the compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/harness review/standin-3/harness.rs
