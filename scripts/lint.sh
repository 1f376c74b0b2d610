#!/usr/bin/env bash
# Runs revive and staticcheck over each module.
set -eu
. "$(dirname "$0")/tools.sh"
cd "$root"
install_tools
failed=0
for module in . entry endive stand meter soak; do
  [ -e "$module/go.mod" ] || continue
  (cd "$module" && "$tools/revive" -config "$root/.revive.toml" -formatter default -set_exit_status -exclude './wire/...' ./...) || failed=1
  (cd "$module" && "$tools/staticcheck" ./...) || failed=1
done
[ "$failed" -eq 0 ] && echo "lint: clean"
exit "$failed"
