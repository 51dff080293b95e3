#!/usr/bin/env bash
# Runs entry host processes of the users' platform and sends them signals, one by
# one and overlapping. Meanwhile bin/platform-soak injects network faults, drains
# and replaces backend servers, and checks the observations of callers and backend
# servers. Settings: SEED, RUNS (with the seeds SEED, SEED+1 and so on), DURATION in
# seconds, HOSTS, BASE_PORT. PLANNED=small, grown or large leaves out all faults: hosts
# are stopped, restarted and reloaded as planned, also several at a time, with work,
# timeouts and a grace period of such a deployment. Exits 1 if a run broke a promise.
# The logs of a run stay in out/soak-SEED, those of planned work in out/planned-DEPLOYMENT-SEED.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
declare -A kill_at=()
trap stop_all EXIT
SEED=${SEED:-1}
RUNS=${RUNS:-1}
PLANNED=${PLANNED:-}
GRACE_MS=3000
case $PLANNED in
  '') options=() ;;
  small) GRACE_MS=6000 options=(--work 210ms --longest-work 1600ms --objective 500ms --route-timeout 2s --call-timeout 4s) ;;
  grown) GRACE_MS=6000 options=(--work 340ms --longest-work 2600ms --objective 800ms --route-timeout 4s --call-timeout 8s) ;;
  large) GRACE_MS=10000 options=(--work 730ms --longest-work 4400ms --objective 2s --route-timeout 5s --call-timeout 10s) ;;
  *) echo "no such deployment: $PLANNED" >&2 && exit 2 ;;
esac
[[ -n $PLANNED ]] && options+=(--planned true --grace "${GRACE_MS}ms" --backend-servers 40 --callers 160)
DURATION=${DURATION:-$([[ -n $PLANNED ]] && echo 45 || echo 15)}
HOSTS=${HOSTS:-$([[ -n $PLANNED ]] && echo 4 || echo 6)}

# start_edge HOST: starts an entry host unless it is running, and records the start.
start_edge() {
  [[ -v "pids[edge-$1]" ]] && return
  echo "$(now_ms) START $1" >>"$out/signals"
  BAOBABDRUM_NODE_FILE=$out/host-$1.json start "edge-$1" bin/baobabdrum edge
}

# send_signal HOST SIGNAL: sends a signal to an entry host if it is running, and
# records it for the checks of bin/platform-soak.
send_signal() {
  [[ -v "pids[edge-$1]" ]] || return 0
  echo "$(now_ms) $2 $1" >>"$out/signals"
  signal "edge-$1" "$2" 2>/dev/null || true
}

# stop_host HOST SIGNAL: sends CONT and the signal to an entry host. Once it has
# exited, start_stopped_hosts starts it again.
stop_host() {
  [[ -v "pids[edge-$1]" ]] || return 0
  send_signal "$1" CONT
  send_signal "$1" "$2"
  stopping+=("$1")
  kill_at[$1]=$(($(now_ms) + GRACE_MS))
}

# kill_overdue_hosts: kills the stopping hosts whose grace period is over, and records
# it as OVERDUE, because it excuses nothing.
kill_overdue_hosts() {
  local host
  for host in "${stopping[@]}"; do
    if (($(now_ms) >= kill_at[$host])) && kill -0 "${pids[edge-$host]}" 2>/dev/null; then
      echo "$(now_ms) OVERDUE $host" >>"$out/signals"
      signal "edge-$host" KILL
    fi
  done
}

# start_stopped_hosts: restarts the stopped entry hosts that have exited.
start_stopped_hosts() {
  local host still_running=()
  for host in "${stopping[@]}"; do
    if kill -0 "${pids[edge-$host]}" 2>/dev/null; then
      still_running+=("$host")
      continue
    fi
    wait_exit "edge-$host" || true
    start_edge "$host"
  done
  stopping=("${still_running[@]}")
}

# send_random_signal: sends a random signal to a random host, or kills every other
# host. It leaves out the hosts that are stopping.
send_random_signal() {
  local host=$((RANDOM % HOSTS))
  [[ " ${stopping[*]} " == *" $host "* ]] && return
  case $((RANDOM % 6)) in
    0) stop_host "$host" TERM ;;
    1) stop_host "$host" KILL ;;
    2) send_signal "$host" STOP ;;
    3) send_signal "$host" CONT ;;
    4) send_signal "$host" HUP ;;
    5) for host in $(seq 0 2 $((HOSTS - 1))); do
      [[ " ${stopping[*]} " == *" $host "* ]] || stop_host "$host" KILL
    done ;;
  esac
}

# stop_planned HOST: stops a host unless it is stopping.
stop_planned() {
  [[ " ${stopping[*]} " == *" $1 "* ]] || stop_host "$1" TERM
}

# send_planned_signal: stops a random host or all of them, or has a host read its
# settings again, also while it stops.
send_planned_signal() {
  local host=$((RANDOM % HOSTS))
  case $((RANDOM % 48)) in
    [0-3]) stop_planned "$host" ;;
    [4-7]) send_signal "$host" HUP ;;
    8) for host in $(seq 0 $((HOSTS - 1))); do stop_planned "$host"; done ;;
  esac
}

# run_seed SEED: performs one run and returns 1 if it broke a promise.
run_seed() {
  local host code=0
  out=out/${PLANNED:+planned-}${PLANNED:-soak}-$1
  rm -rf "$out"
  mkdir -p "$out"
  : >"$out/signals"
  RANDOM=$1
  stopping=()
  start soak bin/platform-soak --directory "$out" --seed "$1" --hosts "$HOSTS" --duration "${DURATION}s" --base-port "$BASE_PORT" "${options[@]}"
  retry 5 test -e "$out/ready"
  for host in $(seq 0 $((HOSTS - 1))); do start_edge "$host"; done
  local end=$(($(now_ms) + (DURATION - 8) * 1000))
  sleep 1.5
  while [[ -z $PLANNED ]] && (($(now_ms) < end)); do
    send_random_signal
    start_stopped_hosts
    sleep "0.$((RANDOM % 8 + 1))"
  done
  while [[ -n $PLANNED ]] && (($(now_ms) < end - GRACE_MS)); do
    send_planned_signal
    kill_overdue_hosts
    start_stopped_hosts
    sleep 0.05
  done
  for host in $(seq 0 $((HOSTS - 1))); do send_signal "$host" CONT; done
  while ((${#stopping[@]} > 0)); do
    [[ -z $PLANNED ]] || kill_overdue_hosts
    start_stopped_hosts
    sleep 0.1
  done
  wait_exit soak || code=1
  stop_all
  tail -n 5 "$out/soak.log"
  return "$code"
}

failed=0
for seed in $(seq "$SEED" $((SEED + RUNS - 1))); do
  run_seed "$seed" || failed=1
done
exit "$failed"
