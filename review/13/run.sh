#!/usr/bin/env bash
folder=$(cd "$(dirname "$0")" && pwd)
source "$folder/../standin-3/run.sh"
start_host
play late-write
