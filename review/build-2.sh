#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10, from the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off go build -o ../../target/review-standin-2 .
