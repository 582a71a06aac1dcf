#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into review/out/. Run it after
# the build of deploy/system.toml, which builds the programs under test.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B out -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
targets=(crash_runner)
for case in [1-5]/Case.cpp; do
  targets+=("case${case%%/*}")
done
cmake --build out -j"$(nproc)" --target "${targets[@]}"
