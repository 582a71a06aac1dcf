#!/usr/bin/env bash
# Writes generated/ anew from proto/. The results are committed; CI checks
# that they match.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p generated/schema
protoc --proto_path=proto --cpp_out=generated/schema proto/*.proto
