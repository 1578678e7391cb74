#!/usr/bin/env bash
# Builds the stand-ins and checks of the cases. It needs the standard library only, and is run after
# the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/rig"
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-rig .
