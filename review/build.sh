#!/usr/bin/env bash
# Builds the programs of the cases, with their stand-ins, into target/review/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../target/review/ ./cmd/...
