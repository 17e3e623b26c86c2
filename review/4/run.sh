#!/bin/sh
# Runs the case and writes record.txt beside this file. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0
# it does the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd) && cd "$here/../.." || exit 2
[ -x target/lovagebank ] && [ -x target/review/driver ] || exit 2
exec timeout -k 4 115 target/review/driver gone "$here/record.txt"
