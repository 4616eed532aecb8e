#!/usr/bin/env bash
# Plays case 1; see claim.txt. TROUBLE=0 leaves the disruption out. What was sent, answered
# and run is written to record.txt in this folder.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review ] || [ ! -x target/mustardstepd ]; then
  echo "build first: the build line of deploy/system.toml and review/build.sh" >&2
  exit 2
fi
exec target/review cut review/1/record.txt target/mustardstepd
