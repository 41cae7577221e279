#!/usr/bin/env bash
# Proves the invariants of docs/design.md under failure: each case starts a deployment of separate processes with TLS on
# loopback addresses, applies one kind of fault under traffic, and compares what the callers saw, what the upstream
# processes ran and what the system reports with exact expectations.
#
#   scripts/faults.sh [CASE...]    runs all cases, or the named ones; FAULTS_AT_ONCE says how many run at the same time
#
# A failed case that KNOWN-RED.txt lists as "faults.sh CASE:" is printed and passed over. The last line is
# "N passed, N failed"; the exit status is 0 only if no case failed that is not listed. Needs curl and jq.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
at_once=${FAULTS_AT_ONCE:-3}
work=$(mktemp -d)
bin=$work/bin
pids=()

# Limits of waits in seconds. They bound how long a failed case takes; a case that passes does not reach them.
patience=60

# begin NETWORK UPSTREAMS FIRST_IMAGE starts the deployment of a case.
begin() {
  name=ub net=$1 requests=sample-book images=scan-vault upstreams=$2 first_image=$3
  domains=(ub-bayangol ub-sukhbaatar ub-khanuul ub-campus)
  dir=$work/$case
  deploy
}

fail() {
  echo "$*" >"$work/$case.why"
  echo "failed: $*; last answer of the stand-ins: ${answer:-none}" >&2
  exit 1
}

# expect WHAT ACTUAL OPERATOR EXPECTED compares two numbers.
expect() {
  [ "$2" "$3" "$4" ] || fail "$1: got $2, expected $3 $4"
}

# field FILTER prints a value of the last answer of the stand-ins.
field() { jq -r "$1" <<<"$answer"; }

# expect_field FILTER OPERATOR NUMBER compares a value of the last answer of the stand-ins.
expect_field() { expect "$1" "$(field "$1")" "$2" "$3"; }

# expect_told_truly checks what holds in every case: no wrong or incomplete answer, no keyed request run twice, answered
# without a run, or run although its caller was told that it was not.
expect_told_truly() {
  expect_field .wrong -eq 0
  expect_field .cut_images -eq 0
  expect_field .runs.Doubled -eq 0
  expect_field .runs.Missing -eq 0
  expect_field .runs.NotRun -eq 0
  expect "sum of ends" "$(field '.answered + .refused + .unknown + .lost + .wrong')" -eq "$(field .issued)"
}

# expect_unharmed checks that callers saw no fault at all; requests may have been refused as not run and sent again.
expect_unharmed() {
  expect_told_truly
  expect_field .broken -eq 0
  expect_field .lost -eq 0
  expect_field .unknown -eq 0
  expect_field .answered -gt 0
  expect_field .keyed -gt 0
}

seen() { field '"flows \(.flows) broken \(.broken), requests \(.issued) = answered \(.answered) + refused \(.refused) + unknown \(.unknown) + lost \(.lost), keyed \(.keyed) doubled \(.runs.Doubled)"'; }

# wait_until WHAT COMMAND... repeats a command until it succeeds.
wait_until() {
  local what=$1 until=$((SECONDS + patience))
  shift
  until "$@"; do
    [ $SECONDS -lt $until ] || fail "timed out: $what"
    sleep 0.1
  done
}

# metric ADDRESS NAME prints a metric without fraction, or nothing if the process does not answer.
metric() {
  { curl -s --max-time 1 "http://$1:9100/metrics" || true; } | awk -v name="plantainseam_$2" '$1 == name { printf "%d\n", $2 }'
}

entry_revision() { metric "127.$net.3.$1" entry_revision; }
flows_at() { metric "127.$net.4.$1" agent_flows; }

# flows_owned NUMBER... prints how many flows the agents own together.
flows_owned() {
  local sum=0 i
  for i in "$@"; do sum=$((sum + $(flows_at "$i"))); done
  echo "$sum"
}

flows_are() {
  local wanted=$1
  shift
  [ "$(flows_owned "$@")" -eq "$wanted" ]
}

newest_revision() { operate --output json list | jq -r '.revision // 0'; }

# watch_revisions notes the revisions that the processes and the operators' command show, until it is killed.
watch_revisions() {
  local i revision
  while true; do
    for i in 1 2 3; do
      # A restarted control VM shows 0 until it knows which entries of its log are committed; it answers nothing before.
      revision=$(metric "127.$net.2.$i" control_revision)
      [ "${revision:-0}" -gt 0 ] && echo "c$i $revision"
      revision=$(entry_revision "$i")
      [ -n "$revision" ] && echo "e$i $revision"
    done
    for ((i = 1; i <= upstreams; i++)); do
      revision=$(metric "127.$net.4.$i" agent_revision)
      [ -n "$revision" ] && echo "u$i $revision"
    done
    revision=$(operate --timeout 2s --output json list 2>/dev/null | jq -r '.revision // empty') || true
    [ -n "$revision" ] && echo "list $revision"
    sleep 0.2
  done >>"$dir/revisions"
}

start_watch() {
  watch_revisions &
  watcher=$!
  pids+=("$watcher")
}

# expect_rising ends the watch and checks that no shown revision was below an earlier one of the same process.
expect_rising() {
  kill "$watcher"
  wait "$watcher" 2>/dev/null || true
  local fell
  fell=$(awk '$2 < last[$1] { print $1 " fell from " last[$1] " to " $2 } { last[$1] = $2 }' "$dir/revisions")
  [ -z "$fell" ] || fail "revision decreased: $fell"
  revisions_seen=$(wc -l <"$dir/revisions")
  expect "revisions seen" "$revisions_seen" -gt 0
}

# ended INTENT waits until a plan has ended; a flow whose caller vanished takes 40 s.
ended() { operate --timeout 90s show --intent "$1" --wait; }

# total UNIT FIELD prints a total of the closing report.
total() { jq -r "[.records[].total | select(. != null and .unit == \"$1\") | .$2] | add // 0" "$dir/report.json"; }

# sum_of UNIT CODE prints how many flows or requests ended with a result code, from the closing report.
sum_of() { jq -r "[.records[].sum | select(. != null and .unit == \"$1\" and .code == $2) | .count] | add // 0" "$dir/report.json"; }

# note_flows writes how the agents' flows ended to the case's log, for the reader of a failure.
note_flows() {
  local i arguments=()
  for ((i = 1; i <= upstreams; i++)); do arguments+=(--process "127.$net.4.$i:7000"); done
  operate timeline "${arguments[@]}" 2>&1 | grep kind=flow || true
}

close_requests() {
  carry close-service --key end --service "$requests" --deadline 5m
  ended "$intent"
  signed_report "$requests"
  expect "issued = normal + refused + broken + unknown" "$(total request issued)" -eq \
    "$(($(total request normal) + $(total request refused) + $(total request broken) + $(total request unknown)))"
  expect "ends without a start" "$(($(total request excess) + $(total flow excess)))" -eq 0
}

# A frozen leader must not answer as current after another has led, and must not take back what the other committed.
leader_frozen() {
  begin 50 5 3
  start_watch
  standins start
  sleep 2
  leader=$(leader_number)
  former=127.$net.2.$leader:7000
  carry_retirement ub-u1
  retire=$intent
  kill -STOP "${pid_of[ub-c$leader]}"
  frozen=$SECONDS
  wait_until "another control VM leads" other_leads
  carry set-limits --key limits --service "$images" --queue-limit 65
  sleep $((10 - (SECONDS - frozen) > 0 ? 10 - (SECONDS - frozen) : 0))
  newest=$(newest_revision)
  kill -CONT "${pid_of[ub-c$leader]}"
  controls=("$former")
  answered=$(newest_revision)
  controls=()
  expect "revision from the former leader" "$answered" -ge "$newest"
  wait_until "the former leader has caught up" caught_up
  standins stop
  expect_unharmed
  ended "$retire"
  expect_rising
  echo "$(seen); revision $newest, $revisions_seen revisions seen, none fell" >"$work/$case.figures"
}

other_leads() {
  local i
  for i in 1 2 3; do
    if [ "$i" != "$leader" ] && [ "$(metric "127.$net.2.$i" control_leader)" = 1 ]; then return 0; fi
  done
  return 1
}

caught_up() { [ "$(metric "127.$net.2.$leader" control_revision)" -ge "$newest" ]; }

# Only the flows that the killed agent owned may break, and a keyed request that was in flight there must not run twice.
agent_killed() {
  begin 51 5 3
  standins start terminals
  wait_until "the terminals are connected" flows_are 24 1 2 3 4 5
  sleep 3 # so that the agent has announced its flows
  before=$(newest_revision)
  owned=$(flows_at 2)
  expect "flows at the agent" "$owned" -gt 0
  crash ub-u2
  killed=$SECONDS
  wait_until "the entry VMs have the moved buckets" entries_past "$before"
  moved=$((SECONDS - killed))
  expect "seconds until the buckets moved" "$moved" -le 12
  standins fresh 40
  expect_field .count -eq 40
  wait_until "the terminals are connected again" flows_are 24 1 3 4 5
  standins stop
  note_flows
  expect_told_truly
  expect_field .broken -eq "$owned"
  expect_field .lost -le "$owned"
  expect "resent keyed requests with an end" "$(field '.resent_answered + .resent_unknown')" -eq "$(field .resent)"
  figures="$(seen), owned $owned, resent $(field .resent) = answered $(field .resent_answered) + unknown $(field .resent_unknown); moved after $moved s"
  close_requests
  expect "unreported flows in the report" "$(total flow unreported)" -eq "$owned"
  echo "$figures; report: flows unreported $(total flow unreported), requests unknown $(total request unknown)" >"$work/$case.figures"
}

entries_past() {
  local i
  for i in 1 2 3; do
    [ "$(entry_revision "$i")" -gt "$1" ] || return 1
  done
}

# Without a quorum flows and unkeyed requests go on, nothing changes, and keyed requests are refused: PS3102 says that this
# send was not run, because an earlier send of the key cannot be looked up (docs/decisions/0003-requests.md).
quorum_lost() {
  entry_data=yes
  begin 52 5 3
  start_watch
  standins start terminals
  wait_until "the terminals are connected" flows_are 24 1 2 3 4 5
  first=$(leader_number)
  second=$((first % 3 + 1))
  revision=$(entry_revision 1)
  crash "ub-c$first" "ub-c$second"
  wait_until "keyed requests are refused as not run" refused_as 3102
  standins entries "127.$net.3.2:6081" "127.$net.3.3:6081"
  crash ub-e1
  launch ub-e1
  wait_until "the entry VM runs again" revision_at_least 1 "$revision"
  standins entries "127.$net.3.1:6081" "127.$net.3.2:6081" "127.$net.3.3:6081"
  status operate --timeout 3s retire-host --key retire --host ub-u1
  expect "exit status of a change" "$exit" -eq 40
  standins tally
  pages=$(field '.answered - .keyed') keyed=$(field .keyed)
  sleep 2
  standins tally
  expect "unkeyed requests answered without a quorum" "$(field '.answered - .keyed')" -gt "$pages"
  expect "keyed requests answered without a quorum" "$(field .keyed)" -eq "$keyed"
  launch "ub-c$first"
  launch "ub-c$second"
  wait_until "keyed requests are answered" keyed_past "$keyed"
  standins fresh 10
  expect_field .count -eq 10
  operate list --await-in-force
  carry_retirement ub-u1
  standins stop
  expect_unharmed
  ended "$intent"
  expect_rising
  echo "$(seen), codes $(field '.codes | tojson'); $revisions_seen revisions seen, none fell" >"$work/$case.figures"
}

refused_as() {
  standins tally
  [ "$(field ".codes[\"$1\"] // 0")" -gt 0 ]
}

revision_at_least() {
  local now
  now=$(entry_revision "$1")
  [ -n "$now" ] || return 1
  expect "revision after the restart" "$now" -ge "$2"
}

keyed_past() {
  standins tally
  [ "$(field .keyed)" -gt "$1" ]
}

# A control VM that lost its disk must not vote under its old identity; its replacement counts for the quorum at once.
disk_lost() {
  begin 53 4 3
  standins start
  sleep 1
  leader=$(leader_number)
  lost=$((leader % 3 + 1))
  crash "ub-c$lost"
  rm -rf "$dir/c$lost"
  status "$bin/plantainseamd" --config "$dir/ub-c$lost.yaml"
  expect "exit status without the disk" "$exit" -eq 41
  [[ $output == *PS4103* ]] || fail "refusal without PS4103: $output"
  certificate ub-c4 control "127.$net.2.4"
  { settings ub-c4 "${domains[0]}" control "127.$net.2.4"; echo "data_dir: $dir/c4"; servers
    echo "  signing_key: $dir/system-key"; } >"$dir/ub-c4.yaml"
  new=$("$bin/plantainseamd" --config "$dir/ub-c4.yaml" --init-data)
  launch ub-c4
  carry_out replace-control --key swap --old "${identity[$lost]}" --new "$new" --address "127.$net.2.4:7000"
  crash "ub-c$leader"
  carry set-limits --key limits --service "$requests" --queue-limit 65
  ended "$intent"
  standins tally
  wait_until "keyed requests are answered" keyed_past "$(field .keyed)"
  operate list --await-in-force
  standins stop
  expect_unharmed
  echo "$(seen); refused to start with status 41 PS4103" >"$work/$case.figures"
}

# An entry VM holds no state of flows, so losing it costs retransmissions and nothing else.
entries_fail() {
  begin 54 4 3
  standins start
  sleep 2
  kill -STOP "${pid_of[ub-e1]}"
  crash ub-e2
  sleep 2
  standins entries "127.$net.3.3:6081"
  sleep 2
  kill -CONT "${pid_of[ub-e1]}"
  standins entries "127.$net.3.1:6081" "127.$net.3.3:6081"
  sleep 2
  standins stop
  expect_unharmed
  seen >"$work/$case.figures"
}

# A planned stop interrupts nothing and gets no new work after 3 s.
agent_leaves() {
  begin 55 5 3
  standins start
  sleep 3
  expect "flows at the agent" "$(flows_at 4)" -gt 0
  kill -TERM "${pid_of[ub-u4]}"
  sleep 3
  standins tally
  at_bound=$(field ".upstreams[\"127.$net.4.4:8080\"]")
  sleep 4
  standins tally
  later=$(field ".upstreams[\"127.$net.4.4:8080\"]")
  standins stop
  exit=0
  wait "${pid_of[ub-u4]}" || exit=$?
  expect "exit status of the agent" "$exit" -eq 0
  expect_unharmed
  expect "runs at the upstream 7 s after the stop began" "$later" -eq "$at_bound"
  expect_field ".upstreams[\"127.$net.4.4:8080\"]" -eq "$at_bound"
  figures="$(seen); runs at the leaving host after 3 s: 0"
  close_requests
  expect "unreported flows and requests" "$(($(total flow unreported) + $(total request unreported)))" -eq 0
  echo "$figures; report: unreported 0" >"$work/$case.figures"
}

# The key rotates in two steps, so that every receiver accepts what any sender signs.
key_rotated() {
  begin 56 4 3
  standins start
  sleep 1
  new_secret=$(random_secret)
  for i in 1 2 3; do write_entry "$i"; done
  for ((i = 1; i <= upstreams; i++)); do write_upstream "$i"; done
  for process in ub-e1 ub-e2 ub-e3 ub-u1 ub-u2 ub-u3 ub-u4; do
    kill -HUP "${pid_of[$process]}"
    sleep 0.2
  done
  carry_out rotate-key --key rotate --to 2
  operate list --await-in-force
  sleep 2
  standins tally
  keyed=$(field .keyed)
  wait_until "keyed requests are answered under the new key" keyed_past "$keyed"
  standins stop
  expect_unharmed
  seen >"$work/$case.figures"
}

# Competing operators: one wins, a resend repeats the first answer, and an outdated plan changes nothing.
operators_race() {
  begin 57 5 3
  "$bin/plantainseam" pki issue --dir "$dir" --name bob --role operator
  standins start
  sleep 1
  attempt=0
  wait_until "one of both retirements starts" race
  winner=ada loser=bob
  if [ "$(cat "$dir/bob.exit")" = 0 ]; then winner=bob loser=ada; fi
  expect "exit status of the loser" "$(cat "$dir/$loser.exit")" -eq 50
  grep -q "PS5003.*$winner" "$dir/$loser.out" || fail "the loser's answer does not name $winner: $(cat "$dir/$loser.out")"

  operate set-limits --key resent --service "$images" --queue-limit 65 >"$dir/first"
  operate set-limits --key resent --service "$images" --queue-limit 65 >"$dir/second"
  cmp "$dir/first" "$dir/second" || fail "a resend got another answer"

  operate declare-rights --key stale --service "$images" --host ub-u3 --host ub-u4 >"$dir/stale"
  read_plan "$dir/stale"
  stale_intent=$intent stale_plan=$plan
  read_plan "$dir/first"
  operate confirm --intent "$intent" --plan "$plan" --wait >/dev/null
  status operate confirm --intent "$stale_intent" --plan "$stale_plan"
  expect "exit status of an outdated plan" "$exit" -eq 51
  [[ $output == *PS5101* ]] || fail "no PS5101: $output"
  echo "$output" >"$dir/renewed"
  read_plan "$dir/renewed"
  expect "number of the new plan" "$plan" -gt "$stale_plan"
  operate confirm --intent "$stale_intent" --plan "$plan" >/dev/null
  standins stop
  expect_unharmed
  ended "$stale_intent"
  echo "$(seen); winner $winner, loser's status 50, outdated plan's status 51" >"$work/$case.figures"
}

# race lets both operators retire a host, and again under new keys if the load was too high for both.
race() {
  attempt=$((attempt + 1))
  both_retire ada &
  local one=$!
  both_retire bob &
  wait "$one" "$!"
  winners=$(cat "$dir/ada.exit" "$dir/bob.exit" | grep -c '^0$') || true
  if [ "$winners" -eq 0 ] && grep -q PS5102 "$dir/ada.out" && grep -q PS5102 "$dir/bob.out"; then return 1; fi
  expect "operators who won" "$winners" -eq 1
}

# both_retire OPERATOR plans and confirms the same retirement as another operator at the same time.
both_retire() {
  operator=$1
  status operate retire-host --key "same-$attempt" --host ub-u1 --deadline 5m
  echo "$output" >"$dir/$1.out"
  if [ "$exit" -eq 0 ]; then
    read_plan "$dir/$1.out"
    status operate confirm --intent "$intent" --plan "$plan"
    echo "$output" >>"$dir/$1.out"
  fi
  echo "$exit" >"$dir/$1.exit"
}

# A silent flow is ended by its agent while new flows work.
flow_silent() {
  probes=$'  probe_interval: 1s\n  probe_count: 3'
  begin 58 4 3
  standins start terminals
  wait_until "the terminals are connected" flows_are 24 1 2 3 4
  standins cut 5
  expect_field .count -eq 5
  cut=$SECONDS
  standins fresh 10
  expect_field .count -eq 10
  wait_until "the agents ended the silent flows" flows_are 19 1 2 3 4
  ended=$((SECONDS - cut))
  expect "seconds until the silent flows were ended" "$ended" -le 60
  standins stop
  expect_told_truly
  expect_field .broken -le 5
  expect_field .lost -le 5
  expect "resent keyed requests with an end" "$(field '.resent_answered + .resent_unknown')" -eq "$(field .resent)"
  figures="$(seen); 5 silent flows ended after $ended s, 10 new flows served"
  close_requests
  expect "silent flows in the report" "$(sum_of flow 2108)" -eq 5
  echo "$figures; report: flow-silent 5" >"$work/$case.figures"
}

# Load moves between failure domains without harm; losing all agents of one domain at once breaks only their flows.
domain_lost() {
  begin 59 7 4
  standins start terminals
  wait_until "the terminals are connected" flows_are 24 1 2 3 4 5 6 7
  carry move-load --key move --service "$requests" --from ub-sukhbaatar --to ub-campus
  move=$intent
  operate list --await-in-force
  sleep 3
  standins tally
  expect_field .broken -eq 0
  before=$(newest_revision)
  owned=$(flows_owned 2 6)
  expect "flows in the failure domain" "$owned" -gt 0
  echo "flows before: $(for i in 1 2 3 4 5 6 7; do flows_at $i; done | tr '\n' ' ')"
  crash ub-u2 ub-u6
  killed=$SECONDS
  wait_until "the entry VMs have the moved buckets" entries_past "$before"
  standins fresh 40
  expect_field .count -eq 40
  moved=$((SECONDS - killed))
  wait_until "the terminals are connected again" flows_are 24 1 3 4 5 7
  standins stop
  note_flows
  expect_told_truly
  expect_field .broken -eq "$owned"
  expect_field .lost -le "$owned"
  expect "resent keyed requests with an end" "$(field '.resent_answered + .resent_unknown')" -eq "$(field .resent)"
  ended "$move"
  echo "$(seen), owned $owned, resent $(field .resent) = answered $(field .resent_answered) + unknown $(field .resent_unknown); 40 new flows served after $moved s" >"$work/$case.figures"
}

# run_case NAME runs a case in a shell of its own, whose processes end with it.
run_case() (
  case=$1
  pids=()
  declare -A identity=() pid_of=()
  controls=()
  mkdir -p "$work/$case"
  trap end_processes EXIT
  started=$SECONDS
  "$1"
  echo "$((SECONDS - started)) s" >"$work/$case.time"
)

known_red() { [ -f KNOWN-RED.txt ] && grep -q "^faults.sh $1:" KNOWN-RED.txt; }

# settle NAME prints the verdict on a case.
settle() {
  local why
  if [ -f "$work/$1.time" ]; then
    passed=$((passed + 1))
    echo "pass $1 ($(cat "$work/$1.time")): $(cat "$work/$1.figures")"
    return
  fi
  why=$(cat "$work/$1.why" 2>/dev/null || tail -n 2 "$work/$1.log")
  if known_red "$1"; then
    red=$((red + 1))
    echo "known red $1: $why"
    return
  fi
  failed=$((failed + 1))
  echo "FAIL $1: $why"
  tail -n 15 "$work/$1.log" "$work/$1/standins.log" 2>/dev/null || true
}

cases=(leader_frozen agent_killed quorum_lost disk_lost entries_fail agent_leaves key_rotated operators_race flow_silent domain_lost)
if [ $# -gt 0 ]; then cases=("$@"); fi
trap 'if [ -n "${FAULTS_KEEP:-}" ]; then echo "kept $work"; else rm -rf "$work"; fi' EXIT
build
passed=0 failed=0 red=0
declare -A case_of=()
for one in "${cases[@]}"; do
  while [ "${#case_of[@]}" -ge "$at_once" ]; do
    wait -n -p ended "${!case_of[@]}" || true
    settle "${case_of[$ended]}"
    unset "case_of[$ended]"
  done
  run_case "$one" >"$work/$one.log" 2>&1 &
  case_of[$!]=$one
done
while [ "${#case_of[@]}" -gt 0 ]; do
  wait -n -p ended "${!case_of[@]}" || true
  settle "${case_of[$ended]}"
  unset "case_of[$ended]"
done
[ "$red" -eq 0 ] || echo "known red, passed over: $red"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
