#!/bin/sh
# Builds the stand-ins of the scripts in review/4 to review/8; needs the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand review/stand-2/main.rs
