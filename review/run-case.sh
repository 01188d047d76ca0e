#!/bin/sh
# Runs one case: run-case.sh FOLDER NAME. Ends every process that the case started.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/.." && pwd)"
temporary="$(mktemp -d)" || exit 2
CASE_PIDS="$temporary/pids"
export CASE_PIDS
: > "$CASE_PIDS"
case=
clean_up() {
    [ -n "$case" ] && kill -9 "$case" 2>/dev/null
    while read -r pid; do
        if grep -q brookpass "/proc/$pid/cmdline" 2>/dev/null; then kill -9 "$pid" 2>/dev/null; fi
    done < "$CASE_PIDS"
    rm -rf "$temporary"
}
trap 'clean_up; exit 2' INT TERM HUP
"$here/bin/cases" "$2" "$root" "$1" "$temporary" &
case=$!
wait "$case"
result=$?
case=
clean_up
case "$result" in 0 | 1) exit "$result" ;; *) exit 2 ;; esac
