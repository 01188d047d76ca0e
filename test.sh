#!/usr/bin/env bash
# Format, lints, links in the documentation, release build and tests. Needs nothing outside the repository.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all --check
cargo clippy --locked --workspace --all-targets -- -D warnings
RUSTDOCFLAGS="-D warnings -A rustdoc::private_intra_doc_links" \
    cargo doc --locked --no-deps --workspace --document-private-items --quiet
cargo build --release --locked
cargo test --locked --workspace
