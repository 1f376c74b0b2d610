#!/usr/bin/env bash
# Runs the benchmarks of the decision logic, in about two minutes. Of the benchmarks
# of slices and slots, it runs only the sizes that docs/CAPACITY.md uses. To run all:
#
#   go test -run '^$' -bench . ./place
#   go test -run '^$' -bench Slots -benchtime 1x ./slots/weigh -seed 1
set -eu
cd "$(dirname "$0")/.."

# bench TIME PATTERN PACKAGE... runs the benchmarks whose names match.
bench() {
  local time=$1 pattern=$2
  shift 2
  timeout 120 go test -p 1 -run '^$' -bench "$pattern" -benchmem -benchtime "$time" "$@"
}

bench 200ms . ./member ./ticket ./lease ./keep ./intake ./peer
bench 200ms Decision ./route
bench 2x Memory ./route
bench 2x 'Decision/workers=(128|690)/queued=(1000|100000)$' ./place
bench 5x 'Writes|SliceMemory' ./place
bench 1x '^Benchmark(Cancel|Memory)$' ./place
bench 1x 'Slots/(owners|ideal)/load=(80|95)' ./slots/weigh
