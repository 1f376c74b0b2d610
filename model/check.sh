#!/usr/bin/env bash
# Checks each specification exhaustively, and that spin rejects each mutant: the
# specification with one guard taken out. Prints a table; fails where a
# specification is rejected, a mutant is accepted, or a search was cut short.
set -u
model=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Depth in steps, memory in MB, and searches that run at the same time.
depth=100000
memory=2000
parallel=4

# Each line: what is expected, the specification, its flags.
cases='accepted lease
accepted worker
accepted force GRANTS
accepted force REMOVALS
accepted ticket
accepted quota
accepted lives TAKEOVER
accepted lives TAKEOVER CALM AT_ONCE
accepted lives
accepted lives CALM AT_ONCE
rejected lease NO_CLOCK
rejected lease NO_WAIT
rejected lease HAND_EARLY
rejected lease RENEW_UNFENCED
rejected lease TAKE_UNCONDITIONAL
rejected lease FROM_ANSWER
rejected worker OLD_ACTS
rejected worker NO_SEQUENCE
rejected worker STALE_REPORT
rejected worker NO_TASK_WAIT
rejected worker START_UNASKED
rejected worker NO_WORKER_EPOCH
rejected worker LATE_COMMAND
rejected force GRANTS NO_GRANT_HOLD
rejected force GRANTS NO_FORMER
rejected force GRANTS NO_PROOF
rejected force GRANTS OLD_ROWS
rejected force GRANTS NO_ROWS
rejected force REMOVALS KEEP_REGISTERED
rejected force REMOVALS REMOVE_EARLY
rejected force REMOVALS REMOVE_UNCONDITIONAL
rejected force REMOVALS LATE_PROOF
rejected ticket NO_VERSION
rejected ticket NO_NUMBER
rejected ticket NO_ORDER
rejected ticket ANY_ROW
rejected ticket NOTICE_CONFIRMS
rejected ticket LOST_IS_NO
rejected quota GROW_BEFORE_SHRINK
rejected quota GROWTH_UNCONDITIONAL
rejected quota UNANSWERED_NOT_COUNTED
rejected quota START_BEFORE_READ
rejected quota KEEP_OLD_WRITES
rejected quota LOST_IS_REFUSED
rejected quota LOWERED_IN_ONE_POOL
rejected quota NO_CEILING
rejected lives TAKEOVER TAKEOVER_GRANTED
rejected lives TAKEOVER TAKEOVER_LONGEST
rejected lives TAKEOVER ADOPT_REPORTED
rejected lives CALM AT_ONCE FIRST_POLL
rejected lives AT_ONCE
rejected lives GRANTED_LEASE
rejected lives LATE_POLLS_IGNORED
rejected lives NO_RAISE
rejected lives ACK_ANY_LIFE'

# check runs one case and prints its row of the table.
check() {
  expected=$1
  spec=$2
  shift 2
  dir=$work/$spec-$(echo "$*" | tr ' ' '-')
  mkdir -p "$dir" && cd "$dir" || exit 1
  flags=()
  for flag in "$@"; do flags+=("-D$flag"); done
  if ! spin "${flags[@]}" -a "$model/$spec.pml" >spin.log 2>&1 ||
    ! ${CC:-cc} -w -O2 -DSAFETY -DNOREDUCE -DMEMLIM=$memory -o pan pan.c >cc.log 2>&1; then
    printf '%-8s %-32s %12s  %s\n' "$spec" "$*" - "doesn't build"
    cat spin.log cc.log
    touch "$work/failed"
    return
  fi
  ./pan -m$depth -w24 >pan.log 2>&1
  states=$(awk '/states, stored/ {print $1; exit}' pan.log)
  verdict=$expected
  note=
  if grep -qE 'max search depth too small|out of memory|reached -DMEMLIM|Search not completed' pan.log &&
    ! grep -qE 'errors: [1-9]' pan.log; then
    verdict="cut short"
  elif grep -q 'errors: 0' pan.log; then
    verdict=accepted
  elif grep -qE 'errors: [1-9]' pan.log && grep -q 'assertion violated' pan.log; then
    verdict=rejected
  else
    verdict="no result"
  fi
  if [ "$verdict" != "$expected" ]; then
    note=" (expected: $expected)"
    touch "$work/failed"
    tail -20 pan.log >"$work/$spec-log"
  fi
  printf '%-8s %-32s %12s  %s%s\n' "$spec" "$*" "${states:--}" "$verdict" "$note"
}

printf '%-8s %-32s %12s  %s\n' spec flags states verdict
while read -r line; do
  while [ "$(jobs -rp | wc -l)" -ge $parallel ]; do wait -n; done
  # shellcheck disable=SC2086
  (check $line) &
done <<<"$cases"
wait
if [ -e "$work/failed" ]; then
  echo "model: failed"
  exit 1
fi
echo "model: each specification accepted, each mutant rejected"
