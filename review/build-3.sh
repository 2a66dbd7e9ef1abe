#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15 into target/review-11/.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/../bin/common.sh"
find_java
cd "$SKYLARKMAST_HOME"
rm -rf target/review-11
mkdir -p target/review-11
"$JAVA_HOME/bin/javac" --release 25 -d target/review-11 review/standins-11/*.java
