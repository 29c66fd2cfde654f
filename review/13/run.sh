#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
stand=target/review-4/release/stand-4
if [ ! -x "$stand" ]; then
  echo "$stand isn't built; run review/build-3.sh" >&2
  exit 2
fi
exec "$stand" withheld "$PWD/review/13"
