#!/usr/bin/env bash
# Builds the stand-in that the scripts of review/11 to review/15 start. It has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
  --manifest-path review/stand-4/Cargo.toml --target-dir target/review-4
