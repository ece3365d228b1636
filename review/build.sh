#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The programs under test are built with the command in deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/harness ./review/harness
