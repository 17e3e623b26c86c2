#!/bin/sh
# Plays the case "latin". Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/lovagebank ] && [ -x target/review/standin ] || { echo "build target/lovagebank and review/build.sh first" >&2; exit 2; }
exec target/review/standin latin review/earlier/4
