#!/usr/bin/env bash
# Prints the cost measurements behind docs/CAPACITY.md: the scaling of the decisions
# in one process, and the CPU time and memory of 14 entry host processes, idle and
# at three call rates.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
trap stop_all EXIT

ticks=$(getconf CLK_TCK)
idle_seconds=10
load_seconds=6

# host_ticks: prints the total CPU time of all entry hosts in clock ticks.
host_ticks() {
  local host sum=0 fields
  for host in "${hosts[@]}"; do
    read -ra fields <"/proc/${pids[$host]}/stat"
    sum=$((sum + fields[13] + fields[14]))
  done
  echo "$sum"
}

# host_memory: prints the mean resident memory of an entry host in KiB.
host_memory() {
  local host sum=0
  for host in "${hosts[@]}"; do
    sum=$((sum + $(awk '/^VmRSS/ { print $2 }' "/proc/${pids[$host]}/status")))
  done
  echo $((sum / ${#hosts[@]}))
}

echo "date=$(date -u +%F) cores=$(nproc) memory_gib=$(awk '/MemTotal/ { printf "%.0f", $2 / 1048576 }' /proc/meminfo)"
bin/standin-slopes
use_deployment mauritius
start_deployment
ticks_before=$(host_ticks)
sleep "$idle_seconds"
used_ticks=$(($(host_ticks) - ticks_before))
awk -v t="$used_ticks" -v hz="$ticks" -v s="$idle_seconds" -v n="${#hosts[@]}" -v kib="$(host_memory)" \
  'BEGIN { printf "idle host: %.2f%% of a core, %d KiB resident\n", 100 * t / hz / s / n, kib }'
for rate in 1000 2000 4000; do
  ticks_before=$(host_ticks)
  start_load --rate "$rate" --duration "${load_seconds}s" --callers 256
  wait_exit load
  used_ticks=$(($(host_ticks) - ticks_before))
  calls=$(awk '/"started"/ { gsub(/[^0-9]/, ""); print; exit }' "$out/load.json")
  awk -v t="$used_ticks" -v hz="$ticks" -v c="$calls" -v r="$rate" -v kib="$(host_memory)" \
    'BEGIN { printf "rate %d calls/s over 14 hosts: %d calls, %.0f us of a core each, %d KiB resident\n", r, c, 1e6 * t / hz / c, kib }'
done
