#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. Needs only rustc and no crate.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/case_*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2024 -O -o "target/review-2/$name" "$source"
done
