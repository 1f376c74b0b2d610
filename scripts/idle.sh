#!/usr/bin/env bash
# Measures the costs of a set of entries without requests, over some time: processor time,
# memory, messages and reads of the platform of each entry.
#
#   scripts/idle.sh [CELL] [SECONDS] [ENTRIES] [TASKS]
#
# CELL is a directory of examples/; the entries are spread over its zones. TASKS
# are started before, a fifth of them watchers, and run throughout.
set -eu
cd "$(dirname "$0")/.."
. scripts/cluster.sh
cell=examples/${1:-pwyth}/cell.toml
seconds=${2:-30}
entries=${3:-7}
tasks=${4:-0}
dir=$(mktemp -d)
trap 'cluster_end; rm -rf "$dir"' EXIT
trap 'exit 130' INT TERM

# The zones of the cell as zone=region, in the order of the file.
mapfile -t all < <(awk '/^\[\[zones\]\]/ { z = 1 } z && /^name/ { gsub(/"/, ""); n = $3 }
  z && /^region/ { gsub(/"/, ""); print n "=" $3; z = 0 }' "$cell")
placed=()
for ((i = 0; i < entries; i++)); do placed+=("${all[i % ${#all[@]}]}"); done

cluster_start "$dir" "$cell" "${placed[@]}"
cluster_ready "$entries" 60 || { echo "not all entries are ready" >&2 && exit 1; }
bin/endive ticket apply examples/demo/ticket.toml >/dev/null

# submit NAME KIND TASKS PROCESSORS PAYLOAD submits a job.
submit() {
  printf 'name = "%s"\nteam = "workshop"\npool = "quoting"\nkind = "%s"\ntasks = %d\nkey = "%s"\npayload = "%s"\n' \
    "$1" "$2" "$3" "$1" "$5" >"$dir/$1.toml"
  [ "$2" = watcher ] || echo 'runTime = "10m"' >>"$dir/$1.toml"
  printf '[need]\nprocessors = %d\nmemory = 536870912\n' "$4" >>"$dir/$1.toml"
  bin/endive job submit "$dir/$1.toml" >/dev/null
}
if [ "$tasks" -gt 0 ]; then
  for i in $(seq 10); do
    submit "watch-$i" watcher $((tasks / 50)) 500 forever
    submit "plans-$i" batch $((tasks * 2 / 25)) 4000 run=600s
    sleep 1
  done
fi
sleep 10

# snap NAME saves the current counts.
snap() {
  local i
  {
    date +%s.%N | sed 's/^/seconds /'
    for key in listReads parts.instances.requests parts.instances.crossRequests parts.instances.crossBytes \
      parts.table.requests parts.table.crossBytes parts.worker.requests table.kinds.slices.writes \
      table.kinds.slices.scans table.kinds.slices.rowsRead table.kinds.config.scans table.kinds.entries.scans \
      table.kinds.jobs.scans table.kinds.cancels.scans; do
      echo "$key $(bin/stand counts --control "$CONTROL" "$key" 2>/dev/null || echo 0)"
    done
    for i in "${!HEALTH[@]}"; do
      curl -s "http://${HEALTH[i]}/metrics" | grep -E '^(peerBytes|peerMessages|processMicroseconds|stepMicroseconds|steps)' |
        grep -v bucket | sed "s/^/entry-$((i + 1)) /; s/ \([^ ]*\)\$/ \1/" |
        awk '{ print $1 "/" $2, $3 }'
    done
  } >"$dir/$1"
}

bin/endive show slices
echo "tasks that run: $(bin/stand counts --control "$CONTROL" workers.running)"
echo "load average at the start: $(cut -d' ' -f1-3 /proc/loadavg), $(date -u +%FT%TZ)"
snap before
sleep "$seconds"
snap after
echo "load average at the end: $(cut -d' ' -f1-3 /proc/loadavg)"
awk 'NR == FNR { before[$1] = $2; next }
  $1 == "seconds" { span = $2 - before[$1]; printf "over %.1f s, of the whole set, a second:\n", span; next }
  !/^entry-/ { printf "  %-34s %10.2f\n", $1, ($2 - before[$1]) / span; next }
  { split($1, part, "/"); name = part[2]; v = ($2 - before[$1]) / span
    gsub(/"/, "", name); if (name ~ /^peerBytes/) bytes[part[1]] += v
    sum[name] += v; if (v > most[name]) most[name] = v; if (!(part[1] in seen)) { seen[part[1]] = 1; n++ } }
  END { print "of an entry, a second (mean, most):"
    for (name in sum) printf "  %-52s %12.1f %12.1f\n", name, sum[name] / n, most[name] | "sort"
    close("sort"); for (e in bytes) { total += bytes[e]; if (bytes[e] > top) top = bytes[e] }
    printf "  %-52s %12.1f %12.1f\n", "bytes sent to peers in all", total / n, top }' "$dir/before" "$dir/after"
echo "memory of each entry, MB (resident):"
for i in "${!entry_pids[@]}"; do awk '/VmRSS/ { printf " %.1f", $2 / 1024 }' "/proc/${entry_pids[i]}/status"; done
echo
