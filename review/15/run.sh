#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves the disruption out.
# Before it, the build of the deploy file and review/build-3.sh have to be run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/lovagebank target/review-3; do
	[ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
exec target/review-3 cut-from-workers review/15/record.txt
