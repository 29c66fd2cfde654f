#!/bin/sh
# Builds the stand-ins of the second review's scripts, with the standard library only. Those of cases 6
# and 10 (review/stand-3 and the case.py beside each script) are Python 3.11 without packages, and need
# no build.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand review/stand-2/main.rs
