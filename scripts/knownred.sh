#!/usr/bin/env bash
# Prints the checks that are known to fail. None of them is a Go test, so no test is
# skipped; a Go test that is listed would have to be skipped here by name.
set -eu
cd "$(dirname "$0")/.."
if [ -s KNOWN-RED.txt ]; then
  echo "known to be red:"
  cat KNOWN-RED.txt
fi
