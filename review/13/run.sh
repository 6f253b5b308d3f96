#!/usr/bin/env bash
# Plays the case restart-cut. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-3/standin-3 ] || [ ! -x target/dotterelheadd ]; then
  echo "build the programs and review/build-3.sh first" >&2
  exit 2
fi
exec target/review-3/standin-3 restart-cut review/13/record.txt
