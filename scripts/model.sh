#!/usr/bin/env bash
# Checks the Promela specifications and their mutants with spin.
set -eu
. "$(dirname "$0")/tools.sh"
cd "$root"
install_package spin spin 6.5.2+dfsg-1
[ -x model/check.sh ] || { echo "model: no specifications yet"; exit 0; }
model/check.sh
