#!/usr/bin/env bash
# Format, lints, release build, tests, and the decision module's limits. Needs nothing outside the repository.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all --check
cargo clippy --locked --workspace --all-targets -- -D warnings
cargo build --release --locked
lines=$(grep -cv '^[[:space:]]*$' src/choice.rs)
widest=$(awk '{ if (length($0) > w) w = length($0) } END { print w }' src/choice.rs)
echo "src/choice.rs: $lines lines that are not blank (950 at most), widest line $widest (110 at most)"
[ "$lines" -le 950 ]
[ "$widest" -le 110 ]
cargo test --locked --workspace
