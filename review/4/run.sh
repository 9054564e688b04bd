#!/usr/bin/env bash
# Plays the case of this folder; see claim.txt. TROUBLE=0 leaves out the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/case-4
[ -x "$program" ] || { echo "run review/build.sh first"; exit 2; }
[ -x target/release/flamingolock ] || { echo "run the build of deploy/system.toml first"; exit 2; }
timeout --kill-after=3 115 "$program"
code=$?
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
