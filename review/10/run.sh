#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0
# it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/dotterelheadd ] && [ -x target/review-case-2 ] || exit 2
exec timeout -k 5 118 target/review-case-2 poison review/10/record.txt
