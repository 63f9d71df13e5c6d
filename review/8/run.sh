#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
for program in target/carobkeel target/review-2; do
  [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then trouble=false; fi
exec target/review-2 -case cancelled-submission -trouble="$trouble" -folder "$here"
