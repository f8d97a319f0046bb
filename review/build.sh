#!/bin/sh
# Builds the stand-ins of the scripts, with the compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/site review/standins/site.rs
