#!/usr/bin/env bash
# Builds the stand-ins and checks of the cases into target/review.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/../bin/common.sh"
find_java
cd "$SKYLARKMAST_HOME"
mkdir -p target/review
"$JAVA_HOME/bin/javac" -d target/review review/standins/*.java
