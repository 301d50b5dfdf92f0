#!/usr/bin/env bash
# Runs all tests. A failure that KNOWN-RED.txt lists is printed but does not fail the
# run; any other failure does. Entries: TEST | COMMAND AND SEED | SEEN | ISSUE.
# The package overlimit measures memory, so it runs by itself after all others.
set -u
cd "$(dirname "$0")/.."
mkdir -p out
go test -count=1 -timeout 20m $(go list ./... | grep -v '/overlimit$') 2>&1 | tee out/test.log
code=${PIPESTATUS[0]}
go test -count=1 -timeout 15m -p 1 ./overlimit 2>&1 | tee -a out/test.log
[ "${PIPESTATUS[0]}" = 0 ] || code=1
echo 'Known red:'
if [ -s KNOWN-RED.txt ]; then cat KNOWN-RED.txt; else echo 'none'; fi
[ "$code" = 0 ] && exit 0
# Collects the failed tests. A parent fails with its children, so that only leaf tests
# are checked below.
failed=$(sed -n 's/^ *--- FAIL: \([^ ]*\).*/\1/p' out/test.log | sort -u)
[ -n "$failed" ] || exit "$code" # a failed build or a panic, without a failed test
unknown=0
for test in $failed; do
  echo "$failed" | grep -q "^$test/" && continue
  if grep -q "^$test |" KNOWN-RED.txt 2>/dev/null; then
    echo "ignored, known red: $test"
  else
    echo "failed: $test"
    unknown=1
  fi
done
if grep -q '^panic:\|\[build failed\]\|\[setup failed\]' out/test.log; then unknown=1; fi
exit $unknown
