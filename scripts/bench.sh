#!/usr/bin/env bash
# Measures the latency that one entry host adds to a call. Runs the same load
# directly against backend servers and through one host, in alternation, and
# prints the difference of the quantiles for each rate with its range over the
# rounds. The backend servers have so many slots that queueing is not measured.
#
# Settings: RATES, ROUNDS, SECONDS_EACH and SERVICE_TIME change the run.
# HOST_SETTINGS adds environment variables to the host, for example
# BAOBABDRUM_LOCK_THREADS=true. PROFILE=FILE writes a CPU profile of the host in the
# last round to FILE.RATE.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
trap stop_all EXIT

rates=${RATES:-2000 10000}
rounds=${ROUNDS:-5}
seconds=${SECONDS_EACH:-5}
first_port=$BASE_PORT
out=${OUT:-out/bench}
rm -rf "$out"
mkdir -p "$out"
hosts=(bench-1)
servers=()
for i in 1 2 3 4; do servers+=("$(address_at $((100 + i)))"); done
connections=1024 probe_time=0s
SERVER_SETTINGS="--slots 256 --service-time ${SERVICE_TIME:-0s}"
sheet=$out/sheet.csv
{
  echo "kind,name,service,data_centre,address,slots,connections,state,at,probes_per_1000_s,idempotent"
  echo "day,,,,,,,,$(date -u +%F),,"
  echo "data_centre,bench,,,,,,in,,,"
  echo "service,catalogue,,,,,,,,1000,yes"
  for address in "${servers[@]}"; do echo "backend_server,,catalogue,bench,$address,256,$connections,in,,,"; done
} >"$sheet"
cat >"$out/bench-1.env" <<SETTINGS
BAOBABDRUM_NAME=bench-1
BAOBABDRUM_DATA_CENTRE=bench
BAOBABDRUM_CALLER_ADDRESS=$(caller_address 0)
BAOBABDRUM_PEER_ADDRESS=$(peer_address 0)
BAOBABDRUM_OPERATOR_ADDRESS=$(operator_address 0)
BAOBABDRUM_PLATFORM_ADDRESS=$(address_at 0)
BAOBABDRUM_CONFIGURED_HOSTS=1
SETTINGS

# run_load NAME ADDRESSES DIRECT RATE: runs the load and prints p50 and p99 in us.
# It fails if less than 99.9% of the calls were answered.
run_load() {
  bin/standin-load --host-addresses "$2" --services catalogue --direct "$3" --rate "$4" \
    --duration "${seconds}s" --report "$out/$1.json" >"$out/$1.log" 2>&1
  local answered started
  answered=$(sum_field "$out/$1.json" answered)
  started=$(sum_field "$out/$1.json" started)
  ((answered * 1000 >= started * 999)) || { echo "$1: $answered of $started calls were answered" >&2 && return 1; }
  echo "$(sum_field "$out/$1.json" p50_us) $(sum_field "$out/$1.json" p99_us)"
}

# sum_field FILE FIELD: prints the sum of all values of a field in a report.
sum_field() { awk -F'[:,]' -v field="\"$2\"" '$1 ~ field { total += $2 } END { print total + 0 }' "$1"; }

# cpu_ms: prints the CPU time that the host has used in ms.
cpu_ms() { awk -v ticks="$(getconf CLK_TCK)" '{ print int(($14 + $15) * 1000 / ticks) }' "/proc/${pids[bench-1]}/stat"; }

# added_latency_counts: prints the number of calls to which the host added at most
# 0.41 ms by its own metric, and the number of all calls.
added_latency_counts() {
  curl -sSf "http://$(operator_address 0)/metrics" | awk '
    /^baobabdrum_added_latency_seconds_bucket\{le="0.00041"\}/ { within = $2 }
    /^baobabdrum_added_latency_seconds_count/ { all = $2 }
    END { print within + 0, all + 0 }'
}

# print_summary NAME VALUES...: prints the median, the least and the largest of
# values in us, in ms.
print_summary() {
  local name=$1
  shift
  printf '%s\n' "$@" | sort -n | awk -v name="$name" '{ v[NR] = $1 / 1000 } END {
    printf "%s=%.3f least=%.3f most=%.3f rounds=%d\n", name, v[int((NR + 1) / 2)], v[1], v[NR], NR }'
}

start_deployment || exit 1
direct=$(IFS=, && echo "${servers[*]}")
run_load warm "$(caller_address 0)" false 2000 >/dev/null
for rate in $rates; do
  p50=() p99=() direct50=() direct99=() cpu_used_ms=0
  read -r within_before all_before < <(added_latency_counts)
  for ((round = 1; round <= rounds; round++)); do
    read -r d50 d99 < <(run_load "direct-$rate-$round" "$direct" true "$rate")
    if [[ -n ${PROFILE:-} && $round == "$rounds" ]]; then
      start profile curl -sSf -o "$PROFILE.$rate" "http://$(operator_address 0)/debug/profile?seconds=$seconds"
    fi
    cpu_before_ms=$(cpu_ms)
    read -r h50 h99 < <(run_load "host-$rate-$round" "$(caller_address 0)" false "$rate")
    cpu_used_ms=$((cpu_used_ms + $(cpu_ms) - cpu_before_ms))
    p50+=($((h50 - d50))) p99+=($((h99 - d99)))
    direct50+=("$d50") direct99+=("$d99")
  done
  echo "rate=$rate"
  print_summary direct_p50_ms "${direct50[@]}"
  print_summary direct_p99_ms "${direct99[@]}"
  print_summary added_p50_ms "${p50[@]}"
  print_summary added_p99_ms "${p99[@]}"
  read -r within all < <(added_latency_counts)
  awk -v used="$cpu_used_ms" -v calls="$((all - all_before))" -v within="$((within - within_before))" 'BEGIN {
    printf "host_cpu_us_per_call=%.1f within_0.41_ms_by_the_host=%.2f%%\n", used * 1000 / calls, within * 100 / calls }'
done
echo "load average: $(cut -d' ' -f1-3 /proc/loadavg)"
