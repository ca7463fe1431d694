#!/bin/sh
# Plays the case with real processes on loopback addresses: exit 1 if the rule was broken, 0 if
# it held, 2 if the case couldn't run. TROUBLE=0 leaves the loss of the runner out. Before it: the
# build of the deploy file, and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/mimosaspool-node target/review-standin-2; do
	[ -x "$program" ] || { echo "$program isn't built"; exit 2; }
done
exec target/review-standin-2 lost-then-stops review/7 target/mimosaspool-node
