#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/stand-2/.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
GOWORK=off go build -o ../../target/stand-2/rig .
