#!/bin/sh
# 0: the rule held, 1: it was broken, 2: the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program="$root/target/review-2/case_$(basename "$folder")"
[ -x "$program" ] || { echo "run review/build-2.sh first"; exit 2; }
exec "$program" "$root" "$folder"
