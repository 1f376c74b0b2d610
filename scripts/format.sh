#!/usr/bin/env bash
# Fails where a Go file isn't formatted; prints the files.
set -eu
. "$(dirname "$0")/tools.sh"
cd "$root"
install_tools
files=$(git ls-files --cached --others --exclude-standard '*.go' | grep -v '\.pb\.go$' | while read -r f; do [ -e "$f" ] && echo "$f"; done)
unformatted=$("$tools/goimports" -local endiveroute.example -l $files)
if [ -n "$unformatted" ]; then
  echo "not formatted (run goimports -local endiveroute.example -w):"
  echo "$unformatted"
  exit 1
fi
echo "format: clean"
