#!/usr/bin/env bash
# Plays the seeds of the soak that have failed. Exits with 1 if one of them fails again.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./cmd/...
go build -o target/soak ./soak
status=0
while read -r seed seconds _; do
  case "$seed" in '' | '#'*) continue ;; esac
  target/soak --seed "$seed" --seconds "$seconds" </dev/null || status=1
done <soak/seeds.txt
exit "$status"
