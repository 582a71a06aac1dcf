#!/usr/bin/env bash
# Regenerates generated/ from proto/. The results are committed; CI checks
# that they match.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p generated/fakes
protoc --proto_path=proto --cpp_out=generated/fakes proto/*.proto
