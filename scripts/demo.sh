#!/usr/bin/env bash
# Runs requests and jobs through separate processes on loopback: a reduced Pwyth cell
# with three entries, one of which is killed in between. The simulated services count
# what really ran; the exit status is 0 only if each count is right.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh

dir=$(mktemp -d)
trap 'cluster_end; rm -rf "$dir"' EXIT
trap 'exit 130' INT TERM

began=$(date +%s)
failed=0
table=()

say() { printf '%3ds  %s\n' "$(($(date +%s) - began))" "$*"; }

# check WHAT WANT GOT adds a line to the table.
check() {
  local mark=ok
  if [ "$2" != "$3" ]; then
    mark=WRONG
    failed=1
  fi
  table+=("$(printf '%-58s %-10s %-10s %s' "$1" "$2" "$3" "$mark")")
}

count() { bin/stand counts --control "$CONTROL" "$1"; }

# wait_for SECONDS WANT PATH waits until the count at PATH is WANT.
wait_for() {
  local _
  for _ in $(seq $((2 * $1))); do
    [ "$(count "$3")" = "$2" ] && return 0
    sleep 0.5
  done
  return 1
}

# ask_quotes FROM TO requests quotes, each at the next entry, and prints how many
# were answered. A refused request is repeated, as a hirer's device would do.
ask_quotes() {
  local i answered=0
  for i in $(seq "$1" "$2"); do
    for _ in 1 2 3 4 5; do
      if [ "$(bin/endive ask quote "marquee $i" 2>/dev/null)" ]; then
        answered=$((answered + 1))
        break
      fi
      sleep 0.5
    done
  done
  echo "$answered"
}

say "starting the stand-ins and three entries"
cluster_start "$dir" demo gogledd-1=gogledd gogledd-2=gogledd de-1=de
if ! cluster_ready 3 15; then
  echo "the entries didn't become ready; see their last lines:" >&2
  tail -n 3 "$dir"/entry-*.log >&2
  exit 1
fi

say "applying ticket 1 and waiting until it is in force on all entries"
bin/endive ticket apply examples/demo/ticket.toml || failed=1
check "entries with ticket 1 in force" 3 "$(bin/endive ticket entries 1 | grep -c -- ' *true')"

say "asking for 20 quotes"
check "quotes answered of 20" 20 "$(ask_quotes 1 20)"

say "cutting one panel twice under one key, at two entries"
first=$(bin/endive ask cut "panel-7" --key panel-7 --non-idempotent --entry "${OPERATORS[0]}")
second=$(bin/endive ask cut "panel-7" --key panel-7 --non-idempotent --entry "${OPERATORS[2]}")
check "cuts of panel-7" 1 "$(count services.cut.byBody.panel-7)"
check "both callers got the same whole answer" "${first:-none}" "${second:-nothing}"

say "submitting 80 cutting plans, a gang with accelerators and two watchers"
for job in batch gang watcher; do
  bin/endive job submit "examples/demo/$job.toml" || failed=1
done
wait_for 15 2 workers.ends.succeeded || true

holder=$(bin/endive show slices | awk '$1 == "quoting.gogledd" { print $2 }')
victim=$((${holder#entry-} - 1))
say "killing $holder, which holds the quoting workers of gogledd, with SIGKILL"
{
  kill -KILL "${entry_pids[victim]}"
  wait "${entry_pids[victim]}"
} 2>/dev/null
check "quotes answered of 20 after the kill" 20 "$(ask_quotes 21 40)"
check "a retry of the cut after the kill" "$first" "$(bin/endive ask cut "panel-7" --key panel-7 --non-idempotent)"
bin/endive job submit examples/demo/batch.toml >/dev/null
check "the resubmitted plans are the same job" 0 $?

say "waiting for the plans to end under the new holder"
wait_for 40 82 workers.ends.succeeded || true
check "plans and gang tasks that ended well" 82 "$(count workers.ends.succeeded)"
check "tasks started (80 plans, 2 of the gang, 2 watchers)" 84 "$(count workers.tasks)"
check "tasks started more than once" 0 "$(count workers.startedAgain)"
check "most workers that ran one task at once" 1 "$(count workers.mostAtOnce)"
check "watchers alive" 2 "$(count workers.running)"
check "workers over their size" 0 "$(count workers.overUsed)"
check "cuts of panel-7 after all" 1 "$(count services.cut.byBody.panel-7)"

say "stopping the other entries gracefully"
for i in 0 1 2; do
  [ "$i" = "$victim" ] || kill -TERM "${entry_pids[i]}"
done
for i in 0 1 2; do
  [ "$i" = "$victim" ] && continue
  wait "${entry_pids[i]}"
  check "exit status of entry-$((i + 1))" 0 $?
done
kill -TERM "$stand_pid"
wait "$stand_pid"

echo
printf '%-58s %-10s %-10s\n' "" wanted counted
printf '%s\n' "${table[@]}"
echo
if [ "$failed" -ne 0 ]; then
  echo "The demo FAILED after $(($(date +%s) - began)) s."
  for f in "$dir"/entry-*.log; do
    echo "--- the last warnings of $(basename "$f" .log)"
    grep -E '"@level":"(warn|error)"' "$f" | tail -n 5
  done
  exit 1
fi
echo "All counts are right, after $(($(date +%s) - began)) s."
