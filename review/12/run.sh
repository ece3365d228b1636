#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/harness ] && [ -x target/primrosetiller ] || { echo "build first: the command of the deploy file, then review/build-3.sh"; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-3/harness -case callers -binary target/primrosetiller -record review/12/record.txt -trouble=$trouble
