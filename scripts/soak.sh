#!/usr/bin/env bash
# Runs random failure cases for MINUTES, with the seeds SEED, SEED+1 and so on.
# Exits 1 if a case failed a check.
set -euo pipefail
cd "$(dirname "$0")/.."
SEED=${SEED:-1}
MINUTES=${MINUTES:-10}
RANDOM=$SEED
mapfile -t cases < <(scripts/faults.sh --list)
end=$((SECONDS + 60 * MINUTES)) code=0 runs=0
while ((SECONDS < end)); do
  case=${cases[RANDOM % ${#cases[@]}]}
  deployment=$((RANDOM % 2))
  SEED=$((SEED + runs)) DEPLOYMENT=$([[ $deployment == 0 ]] && echo mauritius || echo casablanca) scripts/faults.sh "$case" || code=1
  runs=$((runs + 1))
done
echo "soak: seed=$SEED runs=$runs $( ((code == 0)) && echo passed || echo FAILED)"
exit "$code"
