#!/usr/bin/env bash
# Builds the stand-ins and checks of the cases 6 to 10. Needs the Rust compiler alone: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for program in entry takeup crash; do
  rustc --edition 2024 -O -o "target/review-2/$program" "review/stand-2/$program.rs"
done
