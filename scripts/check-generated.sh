#!/usr/bin/env bash
# Fails when the committed protobuf and twirp code differs from what the .proto files give.
# Without protoc the check is not possible; it says so and passes.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v protoc >/dev/null 2>&1; then
  echo "generated code: not checked, protoc is not installed"
  exit 0
fi
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
bash scripts/generate.sh "$out"
status=0
while IFS= read -r file; do
  # The protoc version comment differs between machines.
  if ! diff -q <(grep -v '^//.*protoc' "$out/$file") <(grep -v '^//.*protoc' "$file") >/dev/null; then
    echo "generated code: $file is not current; run scripts/generate.sh"
    status=1
  fi
done < <(cd "$out" && find . -name '*.go')
[ "$status" -eq 0 ] && echo "generated code: current"
exit "$status"
