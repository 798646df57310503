#!/usr/bin/env bash
# Builds the stand-ins of the second review: one program, from the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 -o target/review-2/scenario review/standins-2/scenario.rs
