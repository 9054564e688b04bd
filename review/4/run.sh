#!/usr/bin/env bash
# Plays the case of this folder; see claim.txt. TROUBLE=0 leaves out the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
number=4
source review/play.sh
