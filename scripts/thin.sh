#!/usr/bin/env bash
# Starts a platform, three entry hosts, three backend servers and callers, each
# as a process of its own, applies a sheet and calls the service.
set -euo pipefail
cd "$(dirname "$0")/.."
out=out/thin
mkdir -p "$out"
pids=()
stop() { for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done; wait; }
trap stop EXIT
start() { local log="$out/$1.log"; shift; "$@" >"$log" 2>&1 & pids+=($!); }

start platform bin/standin-platform --address 127.0.0.1:18090 --control-address 127.0.0.1:18091
centres=(mu-north mu-centre mu-south)
hosts=""
for i in 0 1 2; do
  start "backend-$i" bin/standin-backend --address "127.0.0.1:1900$i" --control-address "127.0.0.1:1950$i" --seed "$((i + 1))"
  start "host-$i" bin/baobabdrum host --name "host-$i" --data-centre "${centres[$i]}" \
    --caller-address "127.0.0.1:1810$i" --peer-address "127.0.0.1:1820$i" \
    --operator-address "127.0.0.1:1830$i" --platform-address 127.0.0.1:18090 --configured-hosts 3
  hosts="$hosts${hosts:+,}{\"name\":\"host-$i\",\"peer_address\":\"127.0.0.1:1820$i\",\"state\":\"live\"}"
done
until curl -sf -X POST -d "{\"hosts\":[$hosts]}" http://127.0.0.1:18091/hosts >/dev/null; do sleep 0.1; done
until curl -s http://127.0.0.1:18300/live >/dev/null; do sleep 0.1; done
bin/baobabdrum sheet apply --host-address 127.0.0.1:18300 examples/mauritius/thin.csv
for i in 0 1 2; do until curl -sf "http://127.0.0.1:1830$i/ready"; do sleep 0.1; done; done
sleep 1
bin/baobabdrum ask --host-address 127.0.0.1:18101 catalogue
bin/baobabdrum call --host-address 127.0.0.1:18101 catalogue /stock/hinge-40
echo
bin/standin-load --host-addresses 127.0.0.1:18100,127.0.0.1:18101,127.0.0.1:18102 --rate 400 --duration 3s --report "$out/load.json"
