#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 11 to 15, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -tags review3 -o target/review-3/harness ./review/harness-3
