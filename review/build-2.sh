#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into target/. It needs no network: they use the standard library alone.
set -eu
cd "$(dirname "$0")/standin-2"
GOWORK=off go build -o ../../target/review-standin-2 .
