#!/usr/bin/env bash
# Walks through docs/OPERATIONS.md with separate processes and TLS on loopback addresses, for both deployments: starts
# three control VMs, three entry VMs and seven upstreams, creates the services, retires a host under traffic, loses the
# leader meanwhile, closes a service and verifies the signed report. Exits 0 only if everything held.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
work=$(mktemp -d)
bin=$work/bin
pids=()

finish() {
  status=$?
  end_processes
  if [ "$status" -ne 0 ]; then
    echo "walk: failed; last log lines:"
    tail -n 3 "$work"/*/*.log 2>/dev/null | tail -n 120
  fi
  rm -rf "$work"
  exit "$status"
}
trap finish EXIT

build

walk() {
  name=$1 net=$2 requests=$3 images=$4 upstreams=7 first_image=4
  shift 4
  domains=("$@")
  dir=$work/$name
  controls=()
  declare -A identity=() pid_of=()

  echo "== $name: create the services"
  deploy

  echo "== $name: retire a host under traffic and lose the leader"
  standins start
  sleep 4
  carry_retirement "$name-u1"
  retire=$intent
  sleep 1
  leader=$(leader_number)
  crash "$name-c$leader"
  echo "leader $name-c$leader was killed"
  sleep 4
  standins stop
  cat "$dir/standins.log"
  [[ $answer == '{"clean":true,'* ]]
  operate show --intent "$retire" --wait

  echo "== $name: close $images and verify the report"
  carry_out close-service --key "close-$images" --service "$images" --deadline 5m
  signed_report "$images"
  operate report print --file "$dir/report.json"
  operate timeline --intent "$retire" | head -n 20

  end_processes
}

walk khuree 30 sample-book scan-vault ub-bayangol ub-sukhbaatar ub-khanuul ub-campus
walk comhar 40 iarratas iomha gaillimh-a gaillimh-b luimneach-a sligeach-a
echo "walk: passed"
