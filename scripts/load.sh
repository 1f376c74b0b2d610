#!/usr/bin/env bash
# Runs open load on seven entries over the simulated services of a cell of Pwyth's
# size, at 50, 80, 95 and 120% of the capacity of its quoting executors (35 x 8 slots
# at 200 ms).
# Prints the three measures; writes out/waiting.svg and out/load.json.
#
#   scripts/load.sh [SECONDS]   length of each step, 15 by default
set -eu
cd "$(dirname "$0")/.."
. scripts/cluster.sh
length=${1:-15}
dir=$(mktemp -d)
trap 'cluster_end; rm -rf "$dir"' EXIT
trap 'exit 130' INT TERM
mkdir -p out

cluster_start "$dir" examples/pwyth/cell.toml gogledd-1=gogledd gogledd-2=gogledd de-1=de \
  gogledd-1=gogledd gogledd-2=gogledd de-1=de gogledd-1=gogledd
cluster_ready 7 30
bin/endive ticket apply examples/demo/ticket.toml

# rate PERCENT prints the arrivals per second that are PERCENT % of the capacity.
rate() { echo $((35 * 8 * 5 * $1 / 100)); }

args=(--control "$CONTROL" --length "${length}s" --quote-time 200ms --cut-time 200ms --cuts 0.05 --plans 0.002 --deadline 3s)
for address in "${OPERATORS[@]}"; do args+=(--entry "$address"); done
for address in "${HEALTH[@]}"; do args+=(--health "$address"); done
for percent in 50 80 95 120; do args+=(--rate "$(rate $percent)"); done
bin/meter "${args[@]}" --plot out/waiting.svg
echo
echo "CPU and memory of each entry:"
for i in "${!entry_pids[@]}"; do
  ps -o pid=,cputime=,rss= -p "${entry_pids[i]}" | awk -v e="entry-$((i + 1))" '{ printf "%s  cpu %s  memory %.0f MB\n", e, $2, $3 / 1024 }'
done
for i in "${!entry_pids[@]}"; do kill -TERM "${entry_pids[i]}"; done
for i in "${!entry_pids[@]}"; do wait "${entry_pids[i]}"; done
