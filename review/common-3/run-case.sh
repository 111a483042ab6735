#!/usr/bin/env bash
# Runs the program of one case: run-case.sh FOLDER RECORD SECONDS. Its exit code is
# that of the program: 1 the rule was broken, 0 it held, 2 it could not run.
set -uo pipefail
root=$(cd "$(dirname "$0")/../.." && pwd)
program=$root/build/review-3/case-$(basename "$1")
record=$2
if [ ! -x "$program" ]; then
  echo "could not run: build it with review/build-3.sh" >&2
  exit 2
fi
work=$(mktemp -d)
mkdir -p "$work/1" "$work/2"
timeout --signal=TERM --kill-after=2 "$3" "$program" "$root" "$record" "$work"
code=$?
rm -rf "$work"
[ "$code" -le 2 ] || code=2
exit "$code"
