#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/second"
go build -o ../../target/review-2/ ./cmd/...
