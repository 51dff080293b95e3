# Shared by the run.sh of the cases: sets up one host on free ports, with the build command
# of the deploy file, and ends what it started. The case sets `case` and `folder`.
set -uo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
standin=$root/review/standin-3
work=$(mktemp -d)
started=()
TROUBLE=${TROUBLE:-1}

finish() {
  for pid in "${started[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM

for program in baobabdrum review-3; do
  [[ -x $root/target/$program ]] || { echo "target/$program is not built" >&2; exit 2; }
done
read -r -a ports < <("$root/target/review-3" -case free-ports)
[[ ${#ports[@]} -eq 7 ]] || { echo "no free ports" >&2; exit 2; }
sed -e "s/@HOST@/1/g;s/@IP@/127.0.0.1/g;s/@STORE@/127.0.0.1:${ports[5]}/g" \
  -e "s/@P0@/${ports[0]}/g;s/@P1@/${ports[1]}/g;s/@P2@/${ports[2]}/g;s/@P3@/${ports[3]}/g;s/@P4@/${ports[4]}/g" \
  "$standin/settings.json" >"$work/local.json"

# start_host: starts the host with the command of the deploy file, from the repository's
# root, with the number of descriptors that the settings state.
start_host() {
  (ulimit -n 4100 && cd "$root" && BAOBABDRUM_NODE_FILE=$work/local.json exec target/baobabdrum edge) >"$work/host.log" 2>&1 &
  host=$!
  started+=("$host")
}

# play SCENARIO: plays the stand-ins and ends with the exit code of the case.
play() {
  "$root/target/review-3" -case "$1" -trouble="$([[ $TROUBLE == 0 ]] && echo false || echo true)" -folder "$folder" -names "$standin/names.json" \
    -store "127.0.0.1:${ports[5]}" -front "127.0.0.1:${ports[0]}" -ready "127.0.0.1:${ports[1]}" -directory "127.0.0.1:${ports[3]}" \
    -upstream-port "${ports[6]}" -pid "$host" -settings "$work/local.json" &
  local drill=$!
  started+=("$drill")
  wait "$drill"
  local code=$?
  [[ -n ${KEEP_LOG:-} ]] && cp "$work/host.log" "$KEEP_LOG"
  exit "$code"
}
