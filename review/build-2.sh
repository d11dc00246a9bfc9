#!/bin/sh
# Builds what the scripts of review/6 to review/10 start besides the build of the deploy file. Their
# stand-ins are plain JavaScript that runs as it is, so there is only to check that all is there.
set -e
cd "$(dirname "$0")/.."
[ -f target/driftway/main.cjs ]
for file in review/lib-2/*.js review/[6-9]/*.js review/10/*.js; do
  [ ! -f "$file" ] || node --check "$file"
done
