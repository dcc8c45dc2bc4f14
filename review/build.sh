#!/bin/sh
# Builds the stand-ins that the scripts start. The programs of the project are built by the build line of
# deploy/system.toml.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS= go build -o ../bin/standin .
