#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review/. They need a C++20
# compiler, nlohmann-json3-dev and libssl-dev, all among the packages of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/*.cc; do
  [ -e "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/case-$name" \
    "$source" -lcrypto
done
