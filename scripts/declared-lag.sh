#!/usr/bin/env bash
# Prints how long each change of the declared state took from the first host that had it
# to every other one, from the output of a day that was played with --log all:
#   fleetbench replay SITE NAME --log all >day.log; scripts/declared-lag.sh day.log
# Hosts that started or stopped from 3 s before a change until they had it are left out.
set -euo pipefail
{ grep -E '^ *-?[0-9.]+ [^ ]+ time=.*event=(declared_changed|host_started|host_stopping) ' "$1" || true; } | sort -n | awk '
  function field(name,   at, text) {
    at = index($0, " " name "=")
    if (!at) return ""
    text = substr($0, at + length(name) + 2)
    sub(/ .*/, "", text)
    return text
  }
  $0 !~ /event=declared_changed / { restarts[$2] = restarts[$2] " " $1; next }
  {
    hash = field("hash")
    if (!(hash in number)) { number[hash] = ++changes; first[changes] = $1; version[changes] = field("version") }
    events[$2]++
    at[$2, events[$2]] = $1
    change[$2, events[$2]] = number[hash]
  }
  function restarted(host, from, to,   n, i, times) {
    n = split(restarts[host], times, " ")
    for (i = 1; i <= n; i++) if (times[i] > from && times[i] <= to) return 1
    return 0
  }
  END {
    for (host in events) for (k = 1; k <= changes; k++) {
      if (first[k] <= 0) continue
      for (i = 1; i <= events[host] && change[host, i] < k; i++);
      if (i > events[host] || restarted(host, first[k] - 3, at[host, i])) continue
      lag = at[host, i] - first[k]
      printf "%.3f %s version %s, first at %.3f s\n", lag, host, version[k], first[k]
    }
  }' | sort -rn | awk '
  { lags[NR] = $1; if (NR <= 5) worst[NR] = $0; if (!($2 in seen)) { seen[$2] = 1; hosts++; of_host[hosts] = $1 } }
  END {
    if (!NR) { print "no changes"; exit 1 }
    printf "%d hosts, %d changes seen; median %.3f s, 99 in 100 %.3f s, worst %.3f s; worst of each host: median %.3f s\n",
      hosts, NR, lags[int(NR / 2) + 1], lags[int(NR / 100) + 1], lags[1], of_host[int(hosts / 2) + 1]
    for (i = 1; i <= 5 && i <= NR; i++) print worst[i]
  }'
