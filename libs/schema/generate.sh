#!/usr/bin/env bash
# Regenerates generated/ from proto/. The results are committed, and CI checks
# that they are up to date.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p generated/schema
protoc --proto_path=proto --cpp_out=generated/schema proto/*.proto
