#!/bin/sh
# Builds the stand-ins that the cases start: one program, from the standard library alone. Needs no network.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2021 -O -o bin/cases standin/main.rs
