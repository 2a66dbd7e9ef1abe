#!/usr/bin/env bash
# Builds the stand-ins and scripts of cases 6 to 10 into target/review-2/ (cases 6, 9 and 10) and
# target/review-3/ (cases 7 and 8); run it after the build of the deploy file.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/../bin/common.sh"
find_java
cd "$SKYLARKMAST_HOME"
mkdir -p target/review-2 target/review-3
"$JAVA_HOME/bin/javac" -d target/review-2 review/standins-2/*.java
"$JAVA_HOME/bin/javac" -d target/review-3 review/standins-3/*.java
