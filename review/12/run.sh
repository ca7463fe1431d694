#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mimosaspool-node ] && [ -x target/review-3/standin-3 ] || exit 2
exec target/review-3/standin-3 connections review/12/record.txt
