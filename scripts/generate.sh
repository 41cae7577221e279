#!/usr/bin/env bash
# Regenerates the protobuf and twirp code under the given folder (default: the repository).
set -euo pipefail
cd "$(dirname "$0")/.."
out=${1:-.}
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
for proto in rpc/*/*.proto; do
  PATH="$bin:$PATH" protoc --go_out="$out" --go_opt=paths=source_relative \
    --twirp_out="$out" --twirp_opt=paths=source_relative "$proto"
done
