#!/bin/sh
# Builds the stand-in that the scripts of review/11 and later start. It needs the standard
# library only, and no network.
cd "$(dirname "$0")/standin-3" || exit 2
GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/review-3/standin-3 .
