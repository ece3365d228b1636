#!/usr/bin/env bash
# Regenerates the committed code of this package; CI does not need it.
set -eu
cd "$(dirname "$0")"
bin=$(mktemp -d)
for tool in storj.io/drpc/cmd/protoc-gen-go-drpc google.golang.org/protobuf/cmd/protoc-gen-go github.com/planetscale/vtprotobuf/cmd/protoc-gen-go-vtproto; do
  GOBIN=$bin go install "$tool"
done
PATH=$bin:$PATH protoc --go_out=. --go_opt=paths=source_relative \
  --go-vtproto_out=. --go-vtproto_opt=paths=source_relative,features=marshal+unmarshal+size+clone \
  --go-drpc_out=. --go-drpc_opt=paths=source_relative,protolib=github.com/primrosetiller/primrosetiller/ptcodec \
  ptwire.proto
rm -r "$bin"
