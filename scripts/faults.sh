#!/usr/bin/env bash
# Runs failure cases under load. Faults are injected with real signals and through
# the control addresses of the stand-ins. Usage: scripts/faults.sh [CASE] runs one
# case or all of them; scripts/faults.sh --list lists them. Settings: SEED (of every
# random choice), RATE (calls per second), CALLERS, BASE_PORT, DEPLOYMENT.
#
# Each case prints one line. The exit code is 1 if a case failed a check of
# standin-verdict or a check of its own.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
trap stop_all EXIT
SEED=${SEED:-1}
RATE=${RATE:-300}
RANDOM=$SEED

# Phases of a case in seconds. A prepare_ function may change them before the load
# starts.
before=4
during=8
after=6

# check TEXT COMMAND...: adds the text to the failed checks if the command fails.
check() {
  local text=$1
  shift
  "$@" || failed_checks+=("$text")
}

# pick_random COUNT: sets picked to a random number from 0 to COUNT - 1.
pick_random() { picked=$((RANDOM % $1)); }

# owner_of SERVICE [HOST]: prints the number of the host that owns a cell of the
# service, as reported by a host.
owner_of() {
  local address i
  address=$(bin/baobabdrum ask --host-address "$(caller_address "${2:-0}")" "$1" | jq -r '.addresses[0]')
  for i in "${!hosts[@]}"; do
    if [[ $(caller_address "$i") == "$address" ]]; then echo "$i"; fi
  done
}

# version HOST: prints the configuration version in force at a host.
version() {
  bin/baobabdrum sheet show --host-address "$(operator_address "$1")" | jq .version
}

# check_in_force LEAST: checks that within 6 s every host uses the same version,
# LEAST or newer, and sets in_force_ms to the time until then.
check_in_force() {
  local began
  began=$(now_ms)
  check "version $1 not in force everywhere after 6 s" retry 6 same_version "$1"
  in_force_ms=$(($(now_ms) - began))
}

# same_version LEAST: succeeds if every host uses the same version, LEAST or newer.
same_version() {
  local i first now
  first=$(version 0)
  for i in "${!hosts[@]}"; do
    now=$(version "$i")
    [[ $now == "$first" ]] && ((now >= $1)) || return 1
  done
}

# sheet_with_out DATA_CENTRE: prints the sheet with a data centre set to out.
sheet_with_out() { sed "s/^data_centre,$1,\(.*\),in,/data_centre,$1,\1,out,/" "$sheet"; }

# replace_host HOST: stops a host gracefully, starts it again and waits until it is
# ready.
replace_host() {
  local name=${hosts[$1]}
  signal "$name" TERM
  wait_exit "$name" || failed_checks+=("$name exited with $?")
  start_host "$1"
  wait_ready "$1"
}

case_nothing() { sleep "$during"; }

case_kill_owner() {
  local victim
  victim=$(owner_of "${idempotent%%,*}")
  signal "${hosts[$victim]}" KILL
  wait_exit "${hosts[$victim]}" || true
  sleep "$during"
  start_host "$victim"
}

# The owner of the order service is killed while orders are in flight.
case_kill_order_owner() {
  local victim
  victim=$(owner_of "$order_services")
  signal "${hosts[$victim]}" KILL
  wait_exit "${hosts[$victim]}" || true
  sleep "$during"
  start_host "$victim"
}

case_freeze_owner() {
  local victim
  victim=$(owner_of "${idempotent%%,*}")
  signal "${hosts[$victim]}" STOP
  sleep 8
  signal "${hosts[$victim]}" CONT
}

case_freeze_order_owner() {
  local victim
  victim=$(owner_of "$order_services")
  signal "${hosts[$victim]}" STOP
  sleep 8
  signal "${hosts[$victim]}" CONT
}

prepare_platform_away() { during=30; }
case_platform_away() {
  platform_fault outage 30000
  sleep 30
}

# Every host restarts during a platform outage, so that no host has a configuration
# until the outage ends.
prepare_platform_away_at_start() { during=16; }
case_platform_away_at_start() {
  local i
  platform_fault outage 10000
  for i in "${!hosts[@]}"; do signal "${hosts[$i]}" KILL; done
  for i in "${!hosts[@]}"; do wait_exit "${hosts[$i]}" || true; done
  for i in "${!hosts[@]}"; do start_host "$i"; done
  sleep 10
  for i in "${!hosts[@]}"; do wait_ready "$i"; done
  check_in_force 1
}

prepare_platform_slow() { during=12; }
case_platform_slow() {
  platform_fault slow 12000 2000
  sleep 12
}

case_sheet_reply_lost() {
  local code=0
  sheet_with_out "${data_centres[2]}" >"$out/changed.csv"
  platform_fault lost_reply 3000
  apply_sheet "$out/changed.csv" >>"$out/apply.json" 2>&1 || code=$?
  check "apply exited with $code" test "$code" = 0 -o "$code" = 4
  sleep 3
  apply_sheet "$out/changed.csv" >"$out/again.json" || failed_checks+=("apply again failed")
  check_in_force 2
  sleep 2
}

# Two planners apply different sheets at different hosts at the same time. One sheet
# is accepted, or both in sequence, but never a mixture.
case_two_planners() {
  local code=0
  sheet_with_out "${data_centres[1]}" >"$out/first.csv"
  sheet_with_out "${data_centres[2]}" >"$out/second.csv"
  start planner-1 bin/baobabdrum sheet apply --host-address "$(operator_address 1)" "$out/first.csv"
  start planner-2 bin/baobabdrum sheet apply --host-address "$(operator_address 2)" "$out/second.csv"
  local accepted=0
  for planner in planner-1 planner-2; do
    code=0
    wait_exit "$planner" || code=$?
    check "$planner exited with $code" test "$code" = 0 -o "$code" = 5
    if ((code == 0)); then accepted=$((accepted + 1)); fi
  done
  check "no planner was accepted" test "$accepted" -ge 1
  check_in_force $((1 + accepted))
  sleep 3
}

case_data_centre_out() {
  pick_random "${#data_centres[@]}"
  out_data_centre=${data_centres[$picked]}
  out_at=$(now_ms)
  check "data-centre out" set_data_centre "$out_data_centre" out
  sleep "$during"
  in_at=$(now_ms)
  check "data-centre in" set_data_centre "$out_data_centre" in
}

prepare_data_centre_out_in_outage() { during=14; }
case_data_centre_out_in_outage() {
  platform_fault outage 14000
  sleep 1
  pick_random "${#data_centres[@]}"
  out_data_centre=${data_centres[$picked]}
  out_at=$(now_ms)
  check "data-centre out" set_data_centre "$out_data_centre" out
  sleep 13
}

# The sheet sets a backend server to leaving.
case_server_leaving() {
  pick_random "${#servers[@]}"
  out_address=${servers[$picked]}
  sed "s/^\(backend_server,.*,$out_address,.*\),in,/\1,leaving,/" "$sheet" >"$out/changed.csv"
  out_at=$(now_ms)
  check "sheet apply" apply_sheet "$out/changed.csv" >>"$out/apply.json" 2>&1
  check_in_force 2
  sleep "$during"
}

# Every backend server is cold when the load starts, and some restart under load.
prepare_cold_start() { SERVER_SETTINGS="--cold-start 8s" settle=0; }
case_cold_start() {
  local i
  for i in 1 2 3; do
    pick_random "${#servers[@]}"
    server_fault "${servers[$picked]}" restart 1000
    sleep 2
  done
  read_records
  check "a cold backend server fell over" test "$(jq -s 'map(.fell_over) | add' "$out"/records/*.json)" = 0
}

prepare_rolling_replacement() { during=120 forbid_cut_calls=1; }
case_rolling_replacement() {
  local i
  for i in "${!hosts[@]}"; do replace_host "$i"; done
}

# One host stops at the time planned in the sheet, another at an operator's request.
prepare_planned_stop() { during=12 forbid_cut_calls=1; }
case_planned_stop() {
  local planned=${hosts[2]} asked=${hosts[7]} code=0
  cp "$sheet" "$out/changed.csv"
  echo "planned_stop,$planned,,,,,,,$(date -u -d '+4 seconds' +%Y-%m-%dT%H:%M:%SZ),," >>"$out/changed.csv"
  check "sheet apply" apply_sheet "$out/changed.csv" >>"$out/apply.json" 2>&1
  check "stop" bin/baobabdrum stop --host-address "$(operator_address 7)" >>"$out/stop.json" 2>&1
  wait_exit "$asked" || code=$?
  wait_exit "$planned" || code=$?
  check "a stopped host exited with $code" test "$code" = 0
  sleep 4
  start_host 2
  start_host 7
}

# Two faults at once: an owner is killed during a platform outage.
prepare_kill_owner_in_outage() { during=10; }
case_kill_owner_in_outage() {
  platform_fault outage 10000
  case_kill_owner
}

# Two faults at once: one owner is frozen and another is killed.
case_freeze_and_kill() {
  local frozen victim
  frozen=$(owner_of "$order_services")
  signal "${hosts[$frozen]}" STOP
  victim=$(owner_of "${idempotent%%,*}" $(((frozen + 1) % ${#hosts[@]})))
  if [[ -n $victim && $victim != "$frozen" ]]; then
    signal "${hosts[$victim]}" KILL
    wait_exit "${hosts[$victim]}" || true
  fi
  sleep 8
  signal "${hosts[$frozen]}" CONT
}

# The backend servers of one service in one data centre become slow, so that its
# cell is overloaded. A run with HOST_SETTINGS=BAOBABDRUM_SPILL=false shows the effect
# of moving calls to other cells.
case_crowded_data_centre() {
  local address service=${idempotent%%,*}
  while read -r address; do
    server_fault "$address" straggle $((during * 1000)) 40
  done < <(awk -F, -v s="$service" -v d="${data_centres[0]}" '$1 == "backend_server" && $3 == s && $4 == d { print $5 }' "$sheet")
  sleep "$during"
}

# Callers are killed in the middle of a large answer. Their slots must be freed.
case_caller_killed_mid_pack() {
  local i
  for i in 1 2 3 4 5 6 7 8; do
    start "pack-$i" curl -s --limit-rate 256k -o /dev/null "http://$(caller_address "$i")/call/${idempotent%%,*}/pack/67108864"
  done
  sleep 3
  read_records
  check "no pack was in flight" test "$(jq -s 'map(.in_flight) | add' "$out"/records/*.json)" -ge 8
  for i in 1 2 3 4 5 6 7 8; do
    signal "pack-$i" KILL
    wait_exit "pack-$i" || true
  done
}

# Eight random backend servers at a time have the same fault for a second: cold, cut
# answers, fast failures, slow answers, false load reports, drain, shedding, late
# answers.
case_server_faults() {
  local kind i
  for kind in cold cut fail_fast straggle lie drain shed late; do
    for i in 1 2 3 4 5 6 7 8; do
      pick_random "${#servers[@]}"
      server_fault "${servers[$picked]}" "$kind" 1000 10
    done
    sleep 1
  done
}

# all_idle: succeeds if no call is in flight at any host or backend server.
all_idle() {
  local i
  for i in "${!hosts[@]}"; do
    if bin/baobabdrum dump --host-address "$(operator_address "$i")" | grep -q '"in_flight": [1-9]'; then return 1; fi
  done
  read_records
  test "$(jq -s 'map(.in_flight) | add' "$out"/records/*.json)" = 0
}

# versions_grow: succeeds if the configuration version in force never decreases
# within the lifetime of a host process.
versions_grow() {
  grep -hE 'event=(host_started|configuration_in_force)' "$out"/*.log | awk '
    { match($0, / host=[^ ]*/); host = substr($0, RSTART, RLENGTH) }
    /event=host_started/ { last[host] = 0; next }
    { match($0, / version=[0-9]+/); version = substr($0, RSTART + 9, RLENGTH - 9) + 0
      if (version < last[host]) reverted = 1
      last[host] = version }
    END { exit reverted }'
}

# p99 PHASE: prints the 99th percentile of the latency in a phase in milliseconds.
p99() {
  jq ".phases[] | select(.phase == \"$1\") | .latency.p99_us / 1000" "$out/load.json"
}

# verdict_field NAME: prints a field of the verdict.
verdict_field() { jq ".$1" "$out/verdict.json"; }

# run_case NAME: runs a case, prints its line and returns 1 if a check failed.
run_case() {
  failed_checks=() out_data_centre="" out_address="" out_at=0 in_at=0 before=4 during=8 after=6 forbid_cut_calls="" in_force_ms="" settle=1
  SERVER_SETTINGS=""
  OUT=out/faults/$1
  use_deployment "${DEPLOYMENT:-mauritius}"
  if declare -F "prepare_$1" >/dev/null; then "prepare_$1"; fi
  SETTLE=$settle start_deployment || { stop_all && echo "case=$1 seed=$SEED result=NOT_STARTED" && return 1; }
  local began=$SECONDS
  start_load --rate "$RATE" --callers "${CALLERS:-64}" --order-percent 20 --pack-percent 1 --seed "$SEED" --duration $((before + during + after))s \
    --fault-after "${before}s" --fault-for "${during}s"
  sleep "$before"
  "case_$1"
  check "load run" wait_exit load
  check "slots still taken" retry 5 all_idle
  read_records
  bin/standin-verdict --load "$out/load.json" --records "$out/records" --sheet "$sheet" --out-data-centre "$out_data_centre" \
    --out-address "$out_address" --out-at-ms "$out_at" --in-at-ms "$in_at" \
    >"$out/verdict.json" 2>"$out/verdict.log" || failed_checks+=("$(cat "$out/verdict.log")")
  if [[ -n $forbid_cut_calls ]]; then check "calls were cut" test "$(verdict_field unknown)" = 0; fi
  check "a version reverted" versions_grow
  if grep -l event=invariant_broken "$out"/*.log >/dev/null; then failed_checks+=("invariant broken"); fi
  stop_all
  echo "case=$1 seed=$SEED started=$(verdict_field started) orders=$(verdict_field orders) orders_twice=$(verdict_field orders_twice)" \
    "not_run_but_run=$(verdict_field not_run_but_run) misdirected=$(verdict_field misdirected) lost=$(verdict_field lost)" \
    "not_run=$(verdict_field not_run) unknown=$(verdict_field unknown) orders_unknown=$(verdict_field orders_unknown)" \
    "shed=$(verdict_field shed) fell_over=$(verdict_field fell_over) probes=$(verdict_field probes) over_probes=$(verdict_field over_probes) in_force_ms=${in_force_ms:--}" \
    "calls_after_out=$(verdict_field calls_after_out) last_call_after_out_ms=$(verdict_field last_call_after_out_ms)" \
    "p99_ms_before/during/after=$(p99 before)/$(p99 during)/$(p99 after) seconds=$((SECONDS - began))" \
    "result=$([[ ${#failed_checks[@]} == 0 ]] && echo passed || echo FAILED)${failed_checks[*]:+ broken=\"$(IFS=';' && echo "${failed_checks[*]}")\"}"
  ((${#failed_checks[@]} == 0))
}

# list_cases: prints the names of all cases.
list_cases() { declare -F | sed -n 's/^declare -f case_//p'; }

if [[ ${1:-} == --list ]]; then
  list_cases
  exit 0
fi
code=0
for name in ${1:-$(list_cases)}; do
  run_case "$name" || code=1
done
exit "$code"
