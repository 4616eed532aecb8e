#!/bin/sh
# Builds what the scripts of review/11 to review/14 start, beside the daemon of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review-3/harness ./review/harness-3
