#!/bin/bash
# Exits with 1 if ONE was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/review-2/case-6" ] || exit 2
timeout -k 2 115 "$root/target/review-2/case-6" "$root" "$here/record.txt"
code=$?
[ $code -le 1 ] && exit $code
exit 2
