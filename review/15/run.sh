#!/bin/sh
# Plays the case against the project's own programs, which the build of the deploy file and
# review/build-3.sh have made. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/carobkeel ] && [ -x target/review-standin3 ] || exit 2
exec target/review-standin3 -scenario memory -binary target/carobkeel -record review/15/record.txt
