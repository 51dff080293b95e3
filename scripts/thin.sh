#!/usr/bin/env bash
# Smoke test: starts a platform, three entry hosts, three backend servers and a load
# generator as separate processes, applies a sheet and calls the service.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
trap stop_all EXIT

OUT=out/thin
use_deployment mauritius thin.csv
hosts=("${hosts[@]:0:3}")
HOST_SETTINGS=BAOBABDRUM_CONFIGURED_HOSTS=3
start_deployment
cat "$out/apply.json"
bin/baobabdrum ask --host-address "$(caller_address 1)" catalogue
bin/baobabdrum call --host-address "$(caller_address 1)" catalogue /stock/hinge-40
echo
start_load --services catalogue --rate 400 --duration 3s
wait_exit load
cat "$out/load.log"
