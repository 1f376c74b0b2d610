#!/usr/bin/env bash
# Prints what is known to be red. None of it is a Go test, so no test is left out; a Go test
# that is listed would have to be passed over here by name.
set -eu
cd "$(dirname "$0")/.."
if [ -s KNOWN-RED.txt ]; then
  echo "known to be red:"
  cat KNOWN-RED.txt
fi
