#!/usr/bin/env bash
# Fails if Go or YAML files outside platform/ and deploy/ contain names from the
# messages of the users' platform.
set -euo pipefail
cd "$(dirname "$0")/.."
names='rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|X-(Request-Id|Deadline-Ms|Expect-Instance|Instance-Id|Upstream-(Signature|Load)|Not-Executed|Warmup-Ms)'
names+='|X-Tenant-Id|api_keys|/v1/(resolve|readiness)|warmup_left|warmup_per_s|traffic_split|target_latency|set_keys|precondition|has_more|BAOBABDRUM_NODE_FILE'
if git grep -nIE "$names" -- '*.go' '*.yaml' ':!platform/' ':!deploy/'; then
  echo "wire-names: names of the platform's messages are used outside platform/" >&2
  exit 1
fi
echo "wire-names: none outside platform/"
