#!/usr/bin/env bash
# Builds the stand-in that the scripts of the review start. It has no dependencies.
set -eu
cd "$(dirname "$0")/stand"
mkdir -p ../bin
GOWORK=off CGO_ENABLED=0 go build -o ../bin/standin .
