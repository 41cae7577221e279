#!/usr/bin/env bash
# Walks through docs/operations.md with separate processes and TLS on loopback addresses, for both deployments: starts
# three control VMs, three entry VMs and seven upstreams, creates the services, retires a host under traffic, loses the
# leader meanwhile, closes a service and verifies the signed report. Exits 0 only if everything held.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
bin=$work/bin
pids=()

finish() {
  status=$?
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  if [ "$status" -ne 0 ]; then
    echo "walk: failed; last log lines:"
    tail -n 3 "$work"/*/*.log 2>/dev/null | tail -n 120
  fi
  rm -rf "$work"
  exit "$status"
}
trap finish EXIT

go build -o "$bin/" ./cmd/... ./examples/standins
secret=$(head -c 32 /dev/urandom | base64 -w 0)

# settings HOST DOMAIN ROLE ADDRESS writes the part of a settings file that every process has.
settings() {
  cat <<YAML
host: $1
failure_domain: $2
roles: [$3]
rpc: $4:7000
metrics: $4:9100
tls:
  certificate: $dir/$1.pem
  key: $dir/$1-key.pem
  authority: $dir/ca.pem
YAML
}

servers() {
  local i
  echo "control:"
  echo "  servers:"
  for i in 1 2 3; do
    echo "    - name: $name-c$i"
    echo "      rpc: 127.$net.2.$i:7000"
    [ -n "${identity[$i]:-}" ] && echo "      identity: ${identity[$i]}"
  done
  return 0
}

tunnel() {
  echo "tunnel:"
  echo "  listen: $1:6081"
  [ -n "${2:-}" ] && echo "  fabric: $2"
  echo "  keys:"
  echo "    - id: 1"
  echo "      secret: $secret"
}

certificate() { "$bin/plantainseam" pki issue --dir "$dir" --name "$1" --role "$2" --address "$3"; }

# launch NAME starts a daemon and notes its process id in pid_of.
launch() {
  "$bin/plantainseamd" --config "$dir/$1.yaml" --check-config >/dev/null
  "$bin/plantainseamd" --config "$dir/$1.yaml" 2>"$dir/$1.log" &
  pids+=($!)
  pid_of[$1]=$!
}

operate() {
  "$bin/plantainseam" --certificate "$dir/ada.pem" --key-file "$dir/ada-key.pem" --authority "$dir/ca.pem" \
    --control "127.$net.2.1:7000" --control "127.$net.2.2:7000" --control "127.$net.2.3:7000" "$@"
}

# carry COMMAND... plans an intent, prints the plan, and confirms it.
carry() {
  operate "$@" | tee "$dir/plan"
  intent=$(sed -n 's/^intent \([0-9]*\) .*/\1/p' "$dir/plan")
  plan=$(sed -n 's/^plan \([0-9]*\) .*/\1/p' "$dir/plan")
  operate confirm --intent "$intent" --plan "$plan" >/dev/null
}

walk() {
  name=$1 net=$2 requests=$3 images=$4
  shift 4
  domains=("$@")
  dir=$work/$name
  declare -A identity=() pid_of=()
  mkdir -p "$dir"

  "$bin/plantainseam" pki authority --dir "$dir"
  "$bin/plantainseam" pki signing-key --file "$dir/system-key"
  "$bin/plantainseam" pki signing-key --file "$dir/ada-sign"
  "$bin/plantainseam" pki issue --dir "$dir" --name ada --role operator

  for i in 1 2 3; do
    certificate "$name-c$i" control "127.$net.2.$i"
    { settings "$name-c$i" "${domains[$i]}" control "127.$net.2.$i"; echo "data_dir: $dir/c$i"; servers
      echo "  signing_key: $dir/system-key"; } >"$dir/$name-c$i.yaml"
    identity[$i]=$("$bin/plantainseamd" --config "$dir/$name-c$i.yaml" --init-data)
  done
  for i in 1 2 3; do
    { settings "$name-c$i" "${domains[$i]}" control "127.$net.2.$i"; echo "data_dir: $dir/c$i"; servers
      echo "  bootstrap: true"; echo "  signing_key: $dir/system-key"; } >"$dir/$name-c$i.yaml"
    launch "$name-c$i"
  done
  identity=()

  entries=()
  for i in 1 2 3; do
    certificate "$name-e$i" entry "127.$net.3.$i"
    { settings "$name-e$i" "${domains[$i]}" entry "127.$net.3.$i"; servers; tunnel "127.$net.3.$i"; } >"$dir/$name-e$i.yaml"
    launch "$name-e$i"
    entries+=(--entry "127.$net.3.$i:6081")
  done

  backends=() request_hosts=() image_hosts=()
  for i in 1 2 3 4 5 6 7; do
    certificate "$name-u$i" upstream "127.$net.4.$i"
    carries=$requests
    request_hosts+=(--host "$name-u$i")
    if [ "$i" -ge 4 ]; then
      carries="$requests, $images"
      image_hosts+=(--host "$name-u$i")
    fi
    { settings "$name-u$i" "${domains[$((i % 4))]}" upstream "127.$net.4.$i"; servers
      tunnel "127.$net.4.$i" "127.$net.1.1:6081"
      echo "upstream:"; echo "  carries: [$carries]"; echo "  backend: 127.$net.4.$i:8080"; } >"$dir/$name-u$i.yaml"
    launch "$name-u$i"
    backends+=(--backend "127.$net.4.$i:8080")
  done

  "$bin/standins" --fabric "127.$net.1.1:6081" "${entries[@]}" "${backends[@]}" --prefix "$net" \
    --requests "10.$net.0.1:80" --images "10.$net.0.2:80" >"$dir/callers" 2>"$dir/standins.log" &
  standins=$!
  pids+=("$standins")

  echo "== $name: create the services"
  carry create-service --key "create-$requests" --name "$requests" --frontend "10.$net.0.1:80" --kind request "${request_hosts[@]}"
  operate show --intent "$intent" --wait >/dev/null
  carry create-service --key "create-$images" --name "$images" --frontend "10.$net.0.2:80" --kind stream "${image_hosts[@]}"
  operate show --intent "$intent" --wait >/dev/null
  operate list --await-in-force

  echo "== $name: retire a host under traffic and lose the leader"
  kill -USR1 "$standins"
  sleep 4
  carry retire-host --key "retire-u1" --host "$name-u1" --deadline 5m
  retire=$intent
  sleep 1
  leader=$(operate leader)
  for i in 1 2 3; do
    if [ "127.$net.2.$i:7000" = "$leader" ]; then
      kill -KILL "${pid_of[$name-c$i]}"
      echo "leader $name-c$i was killed"
    fi
  done
  sleep 4
  kill -TERM "$standins"
  wait "$standins" || { cat "$dir/callers" "$dir/standins.log"; exit 1; }
  cat "$dir/callers"
  operate show --intent "$retire" --wait

  echo "== $name: close $images and verify the report"
  carry close-service --key "close-$images" --service "$images" --deadline 5m
  operate show --intent "$intent" --wait >/dev/null
  operate report fetch --service "$images" --file "$dir/report.json"
  operate report sign --file "$dir/report.json" --name ada --signing-key "$dir/ada-sign"
  operate report verify --file "$dir/report.json" --system-key "$dir/system-key.pub" --name ada --operator-key "$dir/ada-sign.pub"
  operate report print --file "$dir/report.json"
  operate timeline --intent "$retire" | head -n 20

  for process in "${!pid_of[@]}"; do kill -KILL "${pid_of[$process]}" 2>/dev/null || true; done
  wait 2>/dev/null || true
}

walk khuree 30 sample-book scan-vault ub-bayangol ub-sukhbaatar ub-khanuul ub-campus
walk comhar 40 iarratas iomha gaillimh-a gaillimh-b luimneach-a sligeach-a
echo "walk: passed"
