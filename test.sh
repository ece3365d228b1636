#!/usr/bin/env bash
# Formats, lints, builds and tests everything. Needs Go and nothing else.
set -euo pipefail
cd "$(dirname "$0")"

echo "== format"
unformatted=$(gofmt -l $(git ls-files '*.go' | grep -v '\.pb\.go$'))
if [ -n "$unformatted" ]; then
  echo "not formatted: $unformatted"
  exit 1
fi

echo "== lint"
linter="${XDG_CACHE_HOME:-$HOME/.cache}/primrosetiller/golangci-lint-$(sha256sum tools/go.sum | cut -c1-16)"
if [ ! -x "$linter" ]; then
  echo "building the pinned linter, once"
  (cd tools && go build -o "$linter" github.com/golangci/golangci-lint/v2/cmd/golangci-lint)
fi
"$linter" run ./...

echo "== build"
go build ./...

echo "== tests"
# Each line of KNOWN-RED.txt begins with the whole name of a test and a bar.
red=$( [ -s KNOWN-RED.txt ] && cut -d'|' -f1 KNOWN-RED.txt | tr -d ' ' | paste -sd'|' || true)
# The crowds of clients in platform/intake are played alone: other load would slow the processes that they press.
intake=$(go list ./platform/intake)
go test -count=1 -timeout 20m ${red:+-skip "^($red)\$"} $(go list ./... | grep -vx "$intake")
go test -count=1 -timeout 20m ${red:+-skip "^($red)\$"} "$intake"

echo "== fuzz"
# A count, not a time, so that the same work is done on a busy machine.
for target in FuzzParseJob FuzzCheckSteps FuzzParseAnnouncement; do
  go test ./platform -run '^$' -fuzz "^$target\$" -fuzztime 5000x -parallel 2
done

if [ -s KNOWN-RED.txt ]; then
  echo "== known red, not run here"
  cat KNOWN-RED.txt
fi
