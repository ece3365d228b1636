#!/usr/bin/env bash
# Measures the resource costs for docs/CAPACITY.md on this machine, on loopback, in about
# four minutes. The variable ONLY selects a single measurement of the entry. Kills the
# processes that it has started when it exits.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)/primrosetiller
go build -o "$bin" ./cmd/primrosetiller
pids=()
cleanup() { for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done; rm -r "$(dirname "$bin")"; }
trap cleanup EXIT
run() { "$bin" "$@" >/dev/null 2>&1 & pids+=($!); }

run standin log --listen 127.0.0.1:17000
run standin upstream --listen 127.0.0.1:17901
sleep 0.5
run entry --name measured --listen 127.0.0.1:17101 --agents-listen 127.0.0.1:17201 --admin-listen 127.0.0.1:17301 --log http://127.0.0.1:17000
sleep 1
echo "## Entry"
"$bin" slopes entry ${ONLY:+--only "$ONLY"} --callers http://127.0.0.1:17101 --agents 127.0.0.1:17201 --admin http://127.0.0.1:17301 --log http://127.0.0.1:17000
run standin log --listen 127.0.0.1:18000
sleep 0.5
run agent --name measured --service service --slots 64 --upstream http://127.0.0.1:17901 --entries 127.0.0.1:18201 --admin-listen 127.0.0.1:18301 --log http://127.0.0.1:18000
sleep 1
echo "## Agent"
"$bin" slopes agent --agents 127.0.0.1:18201 --admin http://127.0.0.1:18301 --log http://127.0.0.1:18000
