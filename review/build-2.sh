#!/usr/bin/env bash
# Builds what the scripts of the cases 4 and up start, beside the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin2"
GOFLAGS=-mod=mod GOWORK=off go build -trimpath -o ../../target/review-standin2 .
