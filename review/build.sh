#!/usr/bin/env bash
# Builds the programs of the cases into review/bin. The nodes come from the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/...
