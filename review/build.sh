#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The daemon is built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review ./review/standin
