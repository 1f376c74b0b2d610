#!/usr/bin/env bash
# Checks that the committed protobuf code is what the .proto files give, and
# that it builds.
set -eu
. "$(dirname "$0")/tools.sh"
cd "$root"
before=$(cat wire/*.pb.go | sha256sum)
scripts/generate.sh
after=$(cat wire/*.pb.go | sha256sum)
if [ "$before" != "$after" ]; then
  echo "generated: wire/*.pb.go is not what peer.proto gives; run make generate"
  exit 1
fi
go build ./wire
echo "generated: up to date, builds"
