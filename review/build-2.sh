#!/bin/bash
# Builds the stand-ins of the second review. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/rig-2"
go build -buildvcs=false -o ../../target/review-2/rig .
