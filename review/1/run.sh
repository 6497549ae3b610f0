#!/usr/bin/env bash
# Exit code 1: ROUTE was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
exec "$root/target/review/release/review-standins" shared-name "$root/target/system/tindock" "$here/record.txt"
