# Functions that start and stop the processes of one deployment on this machine.
# Other scripts source this file after `set -euo pipefail`, from the root of the
# repository. The examples use the ports 24000 to 24999. BASE_PORT moves them; its
# default is the first block of 1000 ports from 24000 that no socket uses.

EXAMPLES_PORT=24000

# used_ports: prints the local ports of all TCP sockets.
used_ports() {
  local address
  while read -r _ address _; do
    echo $((16#${address##*:}))
  done < <(tail -q -n +2 /proc/net/tcp /proc/net/tcp6 2>/dev/null)
}

# find_free_ports: prints the first port of a block of 1000 that no socket uses.
find_free_ports() {
  local base used
  used=$(used_ports)
  for base in $(seq "$EXAMPLES_PORT" 1000 31000); do
    if awk -v first="$base" '$1 >= first && $1 < first + 1000 { used = 1 } END { exit used }' <<<"$used"; then
      echo "$base"
      return
    fi
  done
  echo "no block of 1000 ports from $EXAMPLES_PORT to 32000 is free" >&2
  return 1
}

BASE_PORT=${BASE_PORT:-$(find_free_ports)}

# The ids of the processes that this script started, by name.
declare -A pids=()

# start NAME COMMAND...: starts a process that appends its output to $out/NAME.log.
start() {
  local name=$1
  shift
  "$@" >>"$out/$name.log" 2>&1 &
  pids[$name]=$!
}

# signal NAME SIGNAL: sends a signal to a process.
signal() { kill -s "$2" "${pids[$1]}"; }

# wait_exit NAME: waits until a process has exited and returns its exit code.
wait_exit() {
  local pid=${pids[$1]} code=0
  unset "pids[$1]"
  { wait "$pid"; } 2>/dev/null || code=$?
  return "$code"
}

# stop_all: stops every remaining process by its id. CONT goes first, so that
# frozen processes exit too.
stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -s CONT "$pid" 2>/dev/null || true
    kill "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}

# retry SECONDS COMMAND...: runs a command until it succeeds, and fails after the
# time-out.
retry() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if ((SECONDS >= end)); then
      echo "timed out: $*" >&2
      return 1
    fi
    sleep 0.05
  done
}

# all_running: fails if a started process has exited, for example because another
# process uses its port.
all_running() {
  local name
  for name in "${!pids[@]}"; do
    kill -0 "${pids[$name]}" 2>/dev/null || { echo "$name exited: $(tail -1 "$out/$name.log")" >&2 && return 1; }
  done
}

# now_ms: prints the time in Unix milliseconds.
now_ms() { date +%s%3N; }

# address_at OFFSET: prints the address with the port at an offset from the first
# port of the deployment.
address_at() { echo "127.0.0.1:$((first_port + $1))"; }

# move_ports FILE: prints a file with its loopback ports moved to BASE_PORT.
move_ports() {
  awk -v by=$((BASE_PORT - EXAMPLES_PORT)) '{
    line = $0; moved = ""
    while (match(line, /127\.0\.0\.1:[0-9]+/)) {
      address = substr(line, RSTART, RLENGTH); split(address, parts, ":")
      moved = moved substr(line, 1, RSTART - 1) parts[1] ":" parts[2] + by
      line = substr(line, RSTART + RLENGTH)
    }
    print moved line
  }' "$1"
}

# use_deployment NAME [SHEET]: reads a deployment of examples/ and empties its
# output directory. Sets deployment, out, first_port, sheet, hosts, servers
# (addresses), data_centres and the services and properties of the deployment.
use_deployment() {
  deployment=$1
  out=${OUT:-out/$deployment}
  rm -rf "$out"
  mkdir -p "$out/records"
  case $deployment in
    mauritius) first_port=$BASE_PORT idempotent=catalogue,workshop order_services=orders probe_time=0s connections=240 ;;
    casablanca) first_port=$((BASE_PORT + 500)) idempotent=inventaire,expedition order_services=commandes probe_time=6ms connections=220 ;;
    *) echo "no such deployment: $deployment" >&2 && return 2 ;;
  esac
  sheet=$out/sheet.csv
  move_ports "examples/$deployment/${2:-sheet.csv}" >"$sheet"
  hosts=()
  local file
  # In the order of their ports, on which caller_address and the others rely.
  while read -r file; do
    hosts+=("$(basename "$file" .env)")
    move_ports "$file" >"$out/$(basename "$file")"
  done < <(grep -H '^BAOBABDRUM_CALLER_ADDRESS=' "examples/$deployment"/hosts/*.env | sort -t: -k3 -n | cut -d: -f1)
  mapfile -t servers < <(awk -F, '$1 == "backend_server" { print $5 }' "$sheet")
  mapfile -t data_centres < <(awk -F, '$1 == "data_centre" { print $2 }' "$sheet")
}

# caller_address I, peer_address I, operator_address I: print an address of host I.
caller_address() { address_at $((10 + $1)); }
peer_address() { address_at $((30 + $1)); }
operator_address() { address_at $((50 + $1)); }

# caller_addresses: prints the caller addresses of all hosts, comma-separated.
caller_addresses() {
  local i list=()
  for i in "${!hosts[@]}"; do list+=("$(caller_address "$i")"); done
  (IFS=, && echo "${list[*]}")
}

# control_address ADDRESS: prints the control address of a backend server.
control_address() { echo "127.0.0.1:$((${1#*:} + 100))"; }

start_platform() { start platform bin/standin-platform --address "$(address_at 0)" --control-address "$(address_at 1)"; }

# start_host I: starts an entry host with the settings of its environment file.
start_host() {
  # shellcheck disable=SC2046 # one word for each setting
  start "${hosts[$1]}" env $(cat "$out/${hosts[$1]}.env") ${HOST_SETTINGS:-} bin/baobabdrum host
}

start_servers() {
  local i=0 address
  for address in "${servers[@]}"; do
    i=$((i + 1))
    start "server-${address#*:}" bin/standin-backend --address "$address" --control-address "$(control_address "$address")" \
      --connections "$connections" --probe-time "$probe_time" --seed "$i" ${SERVER_SETTINGS:-}
  done
}

# set_host_list [LEAVING]: sets the host list of the platform, with all hosts live
# but the one that leaves.
set_host_list() {
  local i state list=()
  for i in "${!hosts[@]}"; do
    state=live
    if [[ ${hosts[$i]} == "${1:-}" ]]; then state=leaving; fi
    list+=("{\"name\":\"${hosts[$i]}\",\"peer_address\":\"$(peer_address "$i")\",\"state\":\"$state\"}")
  done
  (IFS=, && curl -sSf -X POST -d "{\"hosts\":[${list[*]}]}" "http://$(address_at 1)/hosts")
}

apply_sheet() { bin/baobabdrum sheet apply --host-address "$(operator_address "${2:-0}")" "${1:-$sheet}"; }

wait_ready() { retry 20 curl -sf "http://$(operator_address "$1")/ready"; }

# start_deployment: starts the platform, the backend servers and the hosts, applies
# the sheet and waits until every host is ready. It returns 1 explicitly, since
# errexit is off where its exit code is checked by `||`.
start_deployment() {
  local i
  start_platform
  retry 10 set_host_list || return 1
  start_servers
  for i in "${!hosts[@]}"; do start_host "$i"; done
  for i in "${!hosts[@]}"; do retry 10 curl -s "http://$(operator_address "$i")/live" || return 1; done
  all_running || return 1
  apply_sheet >"$out/apply.json" || return 1
  for i in "${!hosts[@]}"; do wait_ready "$i" || return 1; done
  sleep "${SETTLE:-1}"
}

# platform_fault KIND MILLISECONDS [DELAY_MS]: injects a fault into the platform.
platform_fault() {
  curl -sSf -X POST -d "{\"kind\":\"$1\",\"for_ms\":$2,\"delay_ms\":${3:-0}}" "http://$(address_at 1)/fault" >/dev/null
}

# server_fault ADDRESS KIND MILLISECONDS [VALUE]: injects a fault into a backend
# server.
server_fault() {
  curl -sSf -X POST -d "{\"kind\":\"$2\",\"for_ms\":$3,\"value\":${4:-0}}" "http://$(control_address "$1")/fault" >/dev/null
}

# set_data_centre NAME STATE [HOST]: sets a data centre out or in, at a host.
set_data_centre() {
  bin/baobabdrum data-centre --host-address "$(operator_address "${3:-0}")" "$1" "$2" >>"$out/data_centre.log" 2>&1
}

# start_load ARGUMENTS...: starts the load generator.
start_load() {
  start load bin/standin-load --host-addresses "$(caller_addresses)" --services "$idempotent" \
    --order-services "$order_services" --report "$out/load.json" "$@"
}

# read_records: saves the run records of every backend server to $out/records.
read_records() {
  local address
  for address in "${servers[@]}"; do
    curl -sSf "http://$(control_address "$address")/runs" >"$out/records/${address#*:}.json"
  done
}
