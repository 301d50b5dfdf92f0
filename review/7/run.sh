#!/usr/bin/env bash
# Plays the case and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-7 ] && [ -x target/plantainmesh ] || exit 2
exec target/review-7 review/7 all
