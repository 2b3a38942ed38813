#!/usr/bin/env bash
# Builds what the scripts of the cases 4 and up start, beside the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin2"
GOTOOLCHAIN=local GOWORK=off go build -trimpath -buildvcs=false -o ../../target/review-standin2 .
