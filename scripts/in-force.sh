#!/usr/bin/env bash
# Measures the time from a change of a data centre's state until it is in force at
# every entry host process. Usage: scripts/in-force.sh quiet|outage [TRIES]; with
# outage, the platform does not answer during the measurement. Settings: BASE_PORT,
# DEPLOYMENT, MOST_MS (the longest time allowed in milliseconds).
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
trap stop_all EXIT
mode=${1:-quiet} tries=${2:-50}
MOST_MS=${MOST_MS:-3000}
SERVER_SETTINGS=""
OUT=out/in-force-$mode
use_deployment "${DEPLOYMENT:-mauritius}"
start_deployment
if [[ $mode == outage ]]; then
  platform_fault outage 3600000
  sleep 3
fi
dumps=()
for i in "${!hosts[@]}"; do dumps+=("http://$(operator_address "$i")/dump"); done

# states_in_force DATA_CENTRE: prints the distinct states of a data centre that are
# in force at any host, comma-separated.
states_in_force() {
  curl -s "${dumps[@]}" | jq -s -r --arg name "$1" 'map(
    (.overrides | map(select(.data_centre == $name)) | .[0].state)
    // (.configuration.data_centres | map(select(.name == $name)) | .[0].state)) | unique | join(",")'
}

# measure_change DATA_CENTRE STATE: sets the state at the next host in turn and
# measures the time until it is in force everywhere. It fails after 10 s.
measure_change() {
  local began host=$((count % ${#hosts[@]})) elapsed
  began=$(now_ms)
  set_data_centre "$1" "$2" "$host"
  reply_ms=$(($(now_ms) - began))
  until [[ $(states_in_force "$1") == "$2" ]]; do
    if (($(now_ms) - began > 10000)); then return 1; fi
  done
  elapsed=$(($(now_ms) - began))
  count=$((count + 1)) sum=$((sum + elapsed))
  if ((elapsed > max_elapsed)); then max_elapsed=$elapsed; fi
  if ((reply_ms > max_reply_ms)); then max_reply_ms=$reply_ms; fi
}

count=0 sum=0 max_elapsed=0 max_reply_ms=0 state=out
while ((count < tries)); do
  for name in "${data_centres[@]}"; do measure_change "$name" "$state"; done
  if [[ $state == out ]]; then
    state=in
    sleep 5 # an in within 5 s of an out conflicts with it
  else
    state=out
  fi
done
echo "mode=$mode hosts=${#hosts[@]} tries=$count most_ms=$max_elapsed mean_ms=$((sum / count)) slowest_reply_ms=$max_reply_ms"
((max_elapsed <= MOST_MS))
