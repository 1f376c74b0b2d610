#!/usr/bin/env bash
# Runs the fault soak: scripts/soak.sh FIRST [LAST [SECONDS [EARLIER [FLAG...]]]] runs the seeds from
# FIRST to LAST, some at the same time, and fails if a check failed for one of them.
# Even seeds have fewer faults, and need 60 seconds for the longest series of workers that are cut off under one task.
# EARLIER is the path of an earlier build of the entry program, which runs beside today's;
# empty for none. FLAG is a flag of the soak, such as --no-accounts for builds that know none.
set -eu
cd "$(dirname "$0")/.."
first=${1:-1}
last=${2:-$first}
seconds=${3:-15}
earlier=${4:-}
at_once=${SOAK_JOBS:-3}
mkdir -p bin out
go build -o bin/ ./entry ./soak
seq "$first" "$last" | xargs -P "$at_once" -I{} bin/soak --entry bin/entry ${earlier:+--earlier "$earlier"} --dir out --seconds "$seconds" "${@:5}" --seed {}
