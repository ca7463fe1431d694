#!/bin/sh
# Builds the stand-ins of review/standin-2 into target/. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
exec go build -tags review -o target/review-standin-2 ./review/standin-2
