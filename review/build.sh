#!/bin/sh
# Builds the stand-ins that the scripts start, after the build of the deploy file. They need the
# standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin.rs
