#!/usr/bin/env bash
# Runs entries, agents, stand-ins and the load tool as processes of their own on
# loopback and offers load. Arguments go to `primrosetiller load`.
# ENTRIES, AGENTS, SLOTS, AHEAD and MOVE size it. Ends the processes that it has started.
set -euo pipefail
cd "$(dirname "$0")/.."
entries=${ENTRIES:-2} agents=${AGENTS:-4} slots=${SLOTS:-8}
work=$(mktemp -d)
go build -o "$work/primrosetiller" ./cmd/primrosetiller
pids=()
cleanup() { for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done; wait 2>/dev/null || true; rm -r "$work"; }
trap cleanup EXIT
run() { "$work/primrosetiller" "$@" >/dev/null 2>&1 & pids+=($!); }
list=() urls=() admins=() upstreams=()
run standin log --listen 127.0.0.1:19000
sleep 0.3
for ((i = 1; i <= entries; i++)); do list+=("127.0.0.1:$((19200 + i))"); urls+=("http://127.0.0.1:$((19100 + i))"); done
joined() { local IFS=,; echo "$*"; }
for ((i = 1; i <= entries; i++)); do
  run entry --name "entry$i" --listen "127.0.0.1:$((19100 + i))" --agents-listen "127.0.0.1:$((19200 + i))" \
    --admin-listen "127.0.0.1:$((19300 + i))" --log http://127.0.0.1:19000 --peers "$(joined "${list[@]}")" --placement "${PLACEMENT:-leases}"
done
for ((i = 1; i <= agents; i++)); do
  run standin upstream --listen "127.0.0.1:$((19400 + i))"
  run agent --name "upstream$i" --service service --slots "$slots" --upstream "http://127.0.0.1:$((19400 + i))" \
    --entries "$(joined "${list[@]}")" --admin-listen "127.0.0.1:$((19500 + i))" --log http://127.0.0.1:19000 ${AHEAD:+--ahead "$AHEAD"} ${MOVE:+--move-after "$MOVE"}
  admins+=("http://127.0.0.1:$((19500 + i))") upstreams+=("http://127.0.0.1:$((19400 + i))")
done
printf 'profiles:\n  - {name: load, team: load, service: service, queueFor: 1m, runFor: 1m, maxTasks: 1000}\n' > "$work/load.yaml"
"$work/primrosetiller" apply -f "$work/load.yaml" --log http://127.0.0.1:19000
sleep 1
"$work/primrosetiller" load --entries "$(joined "${urls[@]}")" --upstreams "$(joined "${upstreams[@]}")" \
  --agents "$(joined "${admins[@]}")" --slots "$((agents * slots))" "$@"
