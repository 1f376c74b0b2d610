#!/usr/bin/env bash
# Puts the pinned developer tools into bin/tools. Sourced by the other scripts.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
tools=$root/bin/tools

# install_tools builds the Go tools that tools/go.mod pins.
install_tools() {
  mkdir -p "$tools"
  if [ "$tools/stamp" -nt "$root/tools/go.mod" ]; then
    return
  fi
  (cd "$root/tools" && GOWORK=off GOBIN="$tools" go install \
    github.com/mgechev/revive \
    golang.org/x/tools/cmd/goimports \
    google.golang.org/protobuf/cmd/protoc-gen-go \
    honnef.co/go/tools/cmd/staticcheck)
  touch "$tools/stamp"
}

# install_package installs a Debian package at a pinned version, unless its
# program is there.
install_package() {
  local program=$1 package=$2 version=$3
  if command -v "$program" >/dev/null; then
    return
  fi
  apt-get update -qq
  apt-get install -y -qq "$package=$version"
}
