#!/bin/sh
# Plays the case with real processes on loopback addresses: exits with 1 if the rule was broken, 0
# if it held, 2 if the case couldn't run. TROUBLE=0 leaves the losses of the leaders' machines out.
# Before it: the build of the deploy file, and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/mimosaspool-node target/review-3/standin-3; do
	[ -x "$program" ] || { echo "$program isn't built" >&2; exit 2; }
done
trouble=1
if [ "${TROUBLE:-1}" = 0 ]; then trouble=0; fi
exec target/review-3/standin-3 connections review/12/record.txt "$trouble"
