#!/usr/bin/env bash
# Plays the case and checks its rule; see claim.txt. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-trial ] && [ -x target/quetzalhook ] || exit 2
exec target/review-trial -case watch -trouble="${TROUBLE:-1}" -out review/5/record.txt
