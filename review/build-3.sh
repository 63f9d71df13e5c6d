#!/bin/sh
# Builds the stand-in that the scripts of the third review start.
cd "$(dirname "$0")/.." || exit 1
exec go build -o target/review-standin3 ./review/standin3
