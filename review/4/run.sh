#!/usr/bin/env bash
# A model server is cut off from all machines and from the store for 5.5 s while it runs streams.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wardridge ] && [ -x target/review-standin-2 ] || exit 2
timeout --kill-after=3 110 target/review-standin-2 behind review/4/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
