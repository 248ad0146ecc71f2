#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build.sh. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review/case ] && [ -x target/release/geraniumroad ] || { echo "build first: the deploy file, then review/build.sh"; exit 2; }
TROUBLE=${TROUBLE:-1} exec target/review/case crash_parts "$folder"
