#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The daemon
# itself is built by the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread \
  review/stand-2/*.cpp -o build-review-2/stand2
