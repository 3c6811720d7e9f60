#!/bin/sh
# Builds the stand-ins of the cases; needs the compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 -o target/review/stand review/stand/main.rs
