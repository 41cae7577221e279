# Functions that start a deployment of separate processes with TLS on loopback addresses. A script that sources this file
# sets `bin` to a folder for the binaries and `pids` to an empty array, and ends with end_processes.
#
# A deployment is described by these variables:
#   name      prefix of the host names
#   net       second byte of its loopback addresses 127.$net.0.0 and of the frontends 10.$net.0.0
#   dir       folder of its files
#   domains   failure domains, as an array
#   requests  name of the request service, at 10.$net.0.1:80
#   images    name of the stream service, at 10.$net.0.2:80
#   upstreams number of upstreams; all carry $requests
#   first_image  number of the first upstream that carries $images as well
#   entry_data   "yes" gives the entry VMs a data folder (optional)
#   controls  addresses of control VMs that operate asks instead of all, as an array
#   probes    further lines of the upstream settings (optional)

build() { go build -o "$bin/" ./cmd/... ./examples/standins; }

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

# tunnel ADDRESS [FABRIC] writes the tunnel settings; new_secret adds a second key.
tunnel() {
  echo "tunnel:"
  echo "  listen: $1:6081"
  [ -n "${2:-}" ] && echo "  fabric: $2"
  echo "  keys:"
  echo "    - id: 1"
  echo "      secret: $secret"
  if [ -n "${new_secret:-}" ]; then
    echo "    - id: 2"
    echo "      secret: $new_secret"
  fi
}

random_secret() { head -c 32 /dev/urandom | base64 -w 0; }

certificate() { "$bin/plantainseam" pki issue --dir "$dir" --name "$1" --role "$2" --address "$3"; }

# launch NAME starts a daemon and notes its process id in pid_of.
launch() {
  "$bin/plantainseamd" --config "$dir/$1.yaml" --check-config >/dev/null
  "$bin/plantainseamd" --config "$dir/$1.yaml" 2>>"$dir/$1.log" &
  pids+=($!)
  pid_of[$1]=$!
}

# crash NAME... kills daemons and returns when they have ended, so that their addresses are free.
crash() {
  local process
  for process in "$@"; do kill -KILL "${pid_of[$process]}"; done
  for process in "$@"; do wait "${pid_of[$process]}" || true; done
}

# end_processes kills the processes of this shell that are still listed.
end_processes() {
  local pid
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  pids=()
}

# operate runs the command line as the operator $operator or ada, against the control VMs of $controls or all of them.
operate() {
  local as=${operator:-ada} at=("${controls[@]}") arguments=() address
  if [ "${#at[@]}" -eq 0 ]; then at=("127.$net.2.1:7000" "127.$net.2.2:7000" "127.$net.2.3:7000"); fi
  for address in "${at[@]}"; do arguments+=(--control "$address"); done
  "$bin/plantainseam" --certificate "$dir/$as.pem" --key-file "$dir/$as-key.pem" --authority "$dir/ca.pem" "${arguments[@]}" "$@"
}

# read_plan FILE sets intent and plan from the printed plan.
read_plan() {
  intent=$(sed -n 's/^intent \([0-9]*\) .*/\1/p' "$1")
  plan=$(sed -n 's/^plan \([0-9]*\) .*/\1/p' "$1")
}

# carry COMMAND... plans an intent, prints the plan, and confirms it.
carry() {
  operate "$@" | tee "$dir/plan"
  read_plan "$dir/plan"
  operate confirm --intent "$intent" --plan "$plan" >/dev/null
}

# status COMMAND... runs a command, keeps its output in $output, and sets $exit.
status() {
  exit=0
  output=$("$@" 2>&1) || exit=$?
}

# Time in seconds within which the load of the deployments in these scripts falls below what a retirement needs.
retirement_patience=60

# carry_retirement HOST carries a retirement. While the load is above what the other hosts could carry, plan or
# confirmation are refused (PS5102, PS5101), so it is asked for again under a new key.
carry_retirement() {
  local attempt=0 until=$((SECONDS + retirement_patience))
  while true; do
    attempt=$((attempt + 1))
    status operate retire-host --key "retire-$1-$attempt" --host "$1" --deadline 5m
    if [ "$exit" -eq 0 ]; then
      echo "$output" >"$dir/plan"
      read_plan "$dir/plan"
      status operate confirm --intent "$intent" --plan "$plan"
      [ "$exit" -eq 0 ] && break
    fi
    if [[ $output != *PS510[12]* || $SECONDS -ge $until ]]; then
      echo "the retirement of $1 was refused with status $exit: $output" >&2
      return 1
    fi
    sleep 0.2
  done
  cat "$dir/plan"
}

# carry_out COMMAND... carries an intent and waits until its plan has ended.
carry_out() {
  carry "$@"
  operate show --intent "$intent" --wait >/dev/null
}

# write_control NUMBER SUFFIX writes the settings of an initial control VM; SUFFIX is a further line or empty.
write_control() {
  { settings "$name-c$1" "${domains[$1]}" control "127.$net.2.$1"; echo "data_dir: $dir/c$1"; servers
    echo "$2"; echo "  signing_key: $dir/system-key"; } >"$dir/$name-c$1.yaml"
}

# write_entry NUMBER and write_upstream NUMBER write the settings of an entry VM and of an agent.
write_entry() {
  { settings "$name-e$1" "${domains[$1]}" entry "127.$net.3.$1"
    if [ "${entry_data:-}" = yes ]; then echo "data_dir: $dir/e$1"; fi
    servers; tunnel "127.$net.3.$1"; } >"$dir/$name-e$1.yaml"
}

write_upstream() {
  local carries=$requests
  if [ "$1" -ge "$first_image" ]; then carries="$requests, $images"; fi
  { settings "$name-u$1" "${domains[$(($1 % ${#domains[@]}))]}" upstream "127.$net.4.$1"; servers
    tunnel "127.$net.4.$1" "127.$net.1.1:6081"
    echo "upstream:"; echo "  carries: [$carries]"; echo "  backend: 127.$net.4.$1:8080"
    echo "${probes:-}"; } >"$dir/$name-u$1.yaml"
}

# start_standins starts fabric, upstream processes and callers, which take commands with standins.
start_standins() {
  local i arguments=()
  for i in 1 2 3; do arguments+=(--entry "127.$net.3.$i:6081"); done
  for ((i = 1; i <= upstreams; i++)); do arguments+=(--backend "127.$net.4.$i:8080"); done
  mkfifo "$dir/commands" "$dir/answers"
  "$bin/standins" --fabric "127.$net.1.1:6081" "${arguments[@]}" --prefix "$net" \
    --requests "10.$net.0.1:80" --images "10.$net.0.2:80" <"$dir/commands" >"$dir/answers" 2>"$dir/standins.log" &
  pids+=($!)
  exec {commands}>"$dir/commands" {answers}<"$dir/answers"
}

# standins COMMAND... gives the stand-ins a command and leaves the answer, one line of JSON, in $answer.
standins() {
  echo "$*" >&"$commands"
  read -r answer <&"$answers"
  if [[ $answer == '{"error":'* ]]; then
    echo "standins $*: $answer" >&2
    return 1
  fi
}

# deploy starts the control VMs, entry VMs, agents and stand-ins of the described deployment, and creates its services.
deploy() {
  local i hosts=() image_hosts=()
  mkdir -p "$dir"
  identity=()
  secret=$(random_secret)
  "$bin/plantainseam" pki authority --dir "$dir"
  "$bin/plantainseam" pki signing-key --file "$dir/system-key"
  "$bin/plantainseam" pki signing-key --file "$dir/ada-sign"
  "$bin/plantainseam" pki issue --dir "$dir" --name ada --role operator
  for i in 1 2 3; do
    certificate "$name-c$i" control "127.$net.2.$i"
    write_control "$i" ""
    identity[$i]=$("$bin/plantainseamd" --config "$dir/$name-c$i.yaml" --init-data)
  done
  for i in 1 2 3; do
    write_control "$i" "  bootstrap: true"
    launch "$name-c$i"
  done
  for i in 1 2 3; do
    certificate "$name-e$i" entry "127.$net.3.$i"
    write_entry "$i"
    launch "$name-e$i"
  done
  for ((i = 1; i <= upstreams; i++)); do
    certificate "$name-u$i" upstream "127.$net.4.$i"
    write_upstream "$i"
    launch "$name-u$i"
    hosts+=(--host "$name-u$i")
    if [ "$i" -ge "$first_image" ]; then image_hosts+=(--host "$name-u$i"); fi
  done
  start_standins
  carry_out create-service --key "create-$requests" --name "$requests" --frontend "10.$net.0.1:80" --kind request "${hosts[@]}"
  carry_out create-service --key "create-$images" --name "$images" --frontend "10.$net.0.2:80" --kind stream "${image_hosts[@]}"
  operate list --await-in-force
}

# leader_number prints the number of the control VM that leads.
leader_number() {
  local address
  address=$(operate leader)
  address=${address%:7000}
  echo "${address##*.}"
}

# signed_report SERVICE fetches the report of a closed service to report.json, signs and verifies it.
signed_report() {
  operate report fetch --service "$1" --file "$dir/report.json"
  operate report sign --file "$dir/report.json" --name ada --signing-key "$dir/ada-sign"
  operate report verify --file "$dir/report.json" --system-key "$dir/system-key.pub" --name ada --operator-key "$dir/ada-sign.pub"
}
