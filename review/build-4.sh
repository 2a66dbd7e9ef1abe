#!/usr/bin/env bash
# Builds the stand-ins of review/standins-4 into a folder of their own under target/.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/../bin/common.sh"
find_java
cd "$SKYLARKMAST_HOME"
rm -rf target/review-4
mkdir -p target/review-4
"$JAVA_HOME/bin/javac" -encoding UTF-8 -d target/review-4 review/standins-4/*.java
