#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-3 .
