#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 9 into build/review-2. They need a C++20
# compiler and libssl-dev, both among the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/[6-9]/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    -o "build/review-2/$(basename "$source" .cc)" -lcrypto
done
