#!/usr/bin/env bash
# Runs the drill of a case: run-case.sh PROGRAM RECORD-FILE TROUBLE. TROUBLE is 0
# to leave the disruption out. Ends with 1 if the rule was broken, 0 if it held, 2
# if the case could not run.
record=$2
trouble=$3
cd "$(dirname "$0")/../.." || exit 2
program=build/review-2/$1
[ -x "$program" ] && [ -x target/bin/radishrudder-platform-entry ] || {
  echo "build with the command of deploy/system.toml and review/build-2.sh" >&2
  exit 2
}
temporary=$(mktemp -d) || exit 2
# The drill leads a process group of its own, so that nothing of it is left.
set -m
"$program" "$record" "$temporary" "$trouble" &
drill=$!
( sleep 115; kill -KILL -- "-$drill" ) 2>/dev/null &
watchdog=$!
trap '{ kill -KILL -- "-$drill" "-$watchdog"; wait; } 2>/dev/null; rm -rf "$temporary"' EXIT
wait "$drill"
result=$?
case $result in 0 | 1) exit "$result" ;; *) exit 2 ;; esac
