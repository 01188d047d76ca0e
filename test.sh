#!/usr/bin/env bash
# Format, lints, release build and tests. Needs nothing outside the repository.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all --check
cargo clippy --locked --workspace --all-targets -- -D warnings
cargo build --release --locked
cargo test --locked --workspace
