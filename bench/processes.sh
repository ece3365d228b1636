#!/usr/bin/env bash
# Runs entries, agents, and test doubles of the log and the upstreams as separate processes
# on loopback, and offers load to them. Its arguments are passed to `primrosetiller load`.
# The variables ENTRIES, AGENTS and SLOTS set the number of entries, of agents, and of slots
# of each agent; AHEAD, MOVE and PLACEMENT set --ahead, --move-after and --placement.
# Kills the processes that it has started when it exits.
set -euo pipefail
cd "$(dirname "$0")/.."
entries=${ENTRIES:-2} agents=${AGENTS:-4} slots=${SLOTS:-8}
work=$(mktemp -d)
go build -o "$work/primrosetiller" ./cmd/primrosetiller
pids=()
cleanup() { for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done; wait 2>/dev/null || true; rm -r "$work"; }
trap cleanup EXIT
run() { "$work/primrosetiller" "$@" >/dev/null 2>&1 & pids+=($!); }
entry_addresses=() entry_urls=() agent_admin_urls=() upstream_urls=()
run standin log --listen 127.0.0.1:19000
sleep 0.3
for ((i = 1; i <= entries; i++)); do entry_addresses+=("127.0.0.1:$((19200 + i))"); entry_urls+=("http://127.0.0.1:$((19100 + i))"); done
join_with_commas() { local IFS=,; echo "$*"; }
for ((i = 1; i <= entries; i++)); do
  run entry --name "entry$i" --listen "127.0.0.1:$((19100 + i))" --agents-listen "127.0.0.1:$((19200 + i))" \
    --admin-listen "127.0.0.1:$((19300 + i))" --log http://127.0.0.1:19000 --peers "$(join_with_commas "${entry_addresses[@]}")" --placement "${PLACEMENT:-leases}"
done
for ((i = 1; i <= agents; i++)); do
  run standin upstream --listen "127.0.0.1:$((19400 + i))"
  run agent --name "upstream$i" --service service --slots "$slots" --upstream "http://127.0.0.1:$((19400 + i))" \
    --entries "$(join_with_commas "${entry_addresses[@]}")" --admin-listen "127.0.0.1:$((19500 + i))" --log http://127.0.0.1:19000 ${AHEAD:+--ahead "$AHEAD"} ${MOVE:+--move-after "$MOVE"}
  agent_admin_urls+=("http://127.0.0.1:$((19500 + i))") upstream_urls+=("http://127.0.0.1:$((19400 + i))")
done
printf 'profiles:\n  - {name: load, team: load, service: service, queueFor: 1m, runFor: 1m, maxTasks: 1000}\n' > "$work/load.yaml"
"$work/primrosetiller" apply -f "$work/load.yaml" --log http://127.0.0.1:19000
sleep 1
"$work/primrosetiller" load --entries "$(join_with_commas "${entry_urls[@]}")" --upstreams "$(join_with_commas "${upstream_urls[@]}")" \
  --agents "$(join_with_commas "${agent_admin_urls[@]}")" --slots "$((agents * slots))" "$@"
