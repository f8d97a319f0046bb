#!/bin/sh
# Builds the stand-ins of the second review with the standard library only, into target/review-2/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for program in pipeline burst foreign crasher; do
    rustc --edition 2024 -O -o "target/review-2/$program" "review/standins-2/$program.rs"
done
