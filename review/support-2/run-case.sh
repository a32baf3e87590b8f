#!/bin/bash
# run-case.sh PROGRAM FOLDER: runs the program of a case in the root of the
# repository. It ends by itself after 118 s. The exit code is that of the
# program, or 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/$1
[ -x "$program" ] && [ -x target/bin/cranberryshunt ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
child=
finish() {
  [ -n "$child" ] && kill -KILL "$child" 2>/dev/null
  wait 2>/dev/null
  rm -rf "$TMPDIR"
}
trap 'finish; exit 2' INT TERM
"$program" "review/$2/record.txt" &
child=$!
wait "$child"
status=$?
child=
finish
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
