#!/usr/bin/env bash
# Runs the commands of the pages as written, against one example deployment on
# this machine. A block that starts with ```sh must succeed, unless a word after
# sh changes that: `exit=N` expects exit code N, `background` leaves the command
# running. Blocks that start with ```bash are not run.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
trap stop_all EXIT
PAGES=${PAGES:-examples/README.md docs/CALLERS.md docs/OPERATIONS.md}

# extract_blocks PAGE: writes each sh block of a page to a numbered file in
# $out/blocks.
extract_blocks() {
  awk -v stem="$out/blocks/$(echo "$1" | tr / -)" '
    /^```sh( |$)/ { file = sprintf("%s-%02d.sh", stem, ++count); print "#" substr($0, 6) >file; next }
    /^```/ { file = "" }
    file != "" { print >file }
  ' "$1"
}

# run_block FILE: runs a block and checks its exit code.
run_block() {
  local expected=0 code=0 words
  words=$(head -1 "$1")
  if [[ $words =~ exit=([0-9]+) ]]; then expected=${BASH_REMATCH[1]}; fi
  # The host settings are read from $out, where their ports are moved as well.
  move_ports "$1" | sed "s#examples/mauritius/hosts/#$out/#" >"$1.moved"
  if [[ $words == *background* ]]; then
    # exec gives the command the process id that stop_all stops.
    sed -i '$s/^/exec /' "$1.moved"
    start "$(basename "$1" .sh)" bash -euo pipefail "$1.moved"
    sleep 2
    all_running
    return
  fi
  timeout 60 bash -euo pipefail "$1.moved" >"$1.log" 2>&1 || code=$?
  ((code == expected)) || { echo "$1: exit code $code instead of $expected" && sed 's/^/    /' "$1.moved" "$1.log" && return 1; }
}

use_deployment mauritius
mkdir -p "$out/blocks"
for page in $PAGES; do extract_blocks "$page"; done
# The last host is not started here, because a page starts it.
spare=$((${#hosts[@]} - 1))
spare_name=${hosts[$spare]}
unset "hosts[$spare]"
start_deployment
failed=0 ran=0
for file in "$out"/blocks/*.sh; do
  ran=$((ran + 1))
  run_block "$file" || failed=$((failed + 1))
done
echo "docs-check: $ran blocks ran, $failed failed (spare host $spare_name); blocks not run: $(cat $PAGES README.md | grep -c '^```bash')"
((failed == 0))
