#!/usr/bin/env bash
# Runs the fault soak: scripts/soak.sh FIRST [LAST [SECONDS]] runs the seeds from
# FIRST to LAST, some at the same time, and fails if a check failed for one of them.
set -eu
cd "$(dirname "$0")/.."
first=${1:-1}
last=${2:-$first}
seconds=${3:-15}
at_once=${SOAK_JOBS:-3}
mkdir -p bin out
go build -o bin/ ./entry ./soak
seq "$first" "$last" | xargs -P "$at_once" -I{} bin/soak --entry bin/entry --dir out --seconds "$seconds" --seed {}
