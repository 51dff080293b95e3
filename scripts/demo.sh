#!/usr/bin/env bash
# Runs both example deployments in turn: 14 entry hosts with all backend servers
# and 10 s of calls and orders, while a data centre leaves and returns. Exits 0
# only if no call was lost, run twice or misdirected.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
trap stop_all EXIT

# run_deployment NAME: runs one deployment and returns 1 if a check failed.
run_deployment() {
  local code=0 out_data_centre out_at in_at
  use_deployment "$1"
  out_data_centre=${data_centres[1]}
  echo "== $deployment: ${#hosts[@]} entry hosts, ${#servers[@]} backend servers; $out_data_centre leaves after 1 s and returns after 8.5 s"
  start_deployment || { stop_all && return 1; }
  start_load --rate "${RATE:-400}" --order-percent 10 --pack-percent 1 --duration 10s --fault-after 1s --fault-for 7500ms
  sleep 1
  out_at=$(now_ms)
  set_data_centre "$out_data_centre" out || code=1
  sleep $((out_at + 7500 - $(now_ms)))e-3
  in_at=$(now_ms)
  set_data_centre "$out_data_centre" in || code=1
  wait_exit load || code=1
  cat "$out/load.log"
  read_records
  bin/standin-verdict --load "$out/load.json" --records "$out/records" --sheet "$sheet" \
    --out-data-centre "$out_data_centre" --out-at-ms "$out_at" --in-at-ms "$in_at" >"$out/verdict.json" || code=1
  tr -d '{}"' <"$out/verdict.json" | tr ',' '\n' | column -c 120
  stop_all
  return "$code"
}

code=0
for name in mauritius casablanca; do
  run_deployment "$name" || code=1
done
if ((code == 0)); then echo "demo: passed"; else echo "demo: FAILED"; fi
exit "$code"
