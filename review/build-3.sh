#!/usr/bin/env bash
# Builds the scripts of the third review, and their stand-ins, under target/.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
source bin/common.sh
find_java
mkdir -p target/review-3
"$JAVA_HOME/bin/javac" -d target/review-3 review/standins-3/*.java
