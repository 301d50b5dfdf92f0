#!/usr/bin/env bash
# Builds the programs that the scripts of cases 6 to 10 start, with the stand-ins in them.
set -eu
cd "$(dirname "$0")/.."
for n in 6 7 8 9 10; do
  if [ -f "review/$n/main.go" ]; then
    go build -o "target/review-$n" "./review/$n"
  fi
done
