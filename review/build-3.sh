#!/usr/bin/env bash
# Builds the stand-ins and drivers of cases 11 to 15, beside the program that
# the deploy file builds into target/. Needs its packages only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -pthread review/stand-3/*.cpp -lcrypto \
  -o target/review-3/cases
