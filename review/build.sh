#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The build of deploy/system.toml comes first; nothing is downloaded that it does not need.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/standin ./review/standin
