#!/usr/bin/env bash
# Runs all Go tests with the race detector.
#
# The property tests draw from a fixed seed, so that each run gives the same
# verdict; scripts/unit.sh SEED takes another one, and 0 a new one each time. Only
# packages that use rapid know its flag. The process tests build the entry program
# themselves, which go test can't see, so they never come from its cache.
set -eu
cd "$(dirname "$0")/.."
seed=${1:-1}
modules="./... ./entry/... ./endive/... ./stand/... ./meter/... ./soak/..."

property=() plain=()
while read -r package imports; do
  case "$package" in */stand/proc) continue ;; esac
  case "$imports" in
    *pgregory.net/rapid*) property+=("$package") ;;
    *) plain+=("$package") ;;
  esac
done < <(go list -f '{{.ImportPath}} {{join .TestImports ","}},{{join .XTestImports ","}}' $modules)

go test -race "${plain[@]}"
go test -race "${property[@]}" -rapid.seed="$seed"
go test -race -count=1 ./stand/proc
