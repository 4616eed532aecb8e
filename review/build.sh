#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The daemon is built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/review .
