#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, each with its
# case in one program. Needs the compiler of the deploy file's packages only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-3
mkdir -p "$out"
for source in review/1[1-5]/case.cc; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -I. "$source" -o "$out/case-$name" -pthread
done
