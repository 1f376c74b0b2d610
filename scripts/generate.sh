#!/usr/bin/env bash
# Makes the protobuf code from the .proto files.
set -eu
. "$(dirname "$0")/tools.sh"
cd "$root"
install_package protoc protobuf-compiler 3.21.12-3+deb12u1
install_tools
protoc --plugin="$tools/protoc-gen-go" --go_out=. --go_opt=module=endiveroute.example/endive wire/peer.proto
