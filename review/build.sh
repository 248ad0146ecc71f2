#!/usr/bin/env bash
# Builds the stand-ins of all scripts into target/review, with the standard library alone and without a network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/case review/stand/main.rs
