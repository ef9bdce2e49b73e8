#!/usr/bin/env bash
# Regenerates the committed protobuf code.
set -euo pipefail
cd "$(dirname "$0")/../src/protocol"
protoc --cpp_out=generated messages.proto steering.proto
