#!/usr/bin/env bash
# Runs a case of review/standins-4: run-case-4.sh MAIN_CLASS CASE_FOLDER
# Needs the build of the deploy file; builds the stand-ins if they are missing.
set -uo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/../bin/common.sh"
find_java
cd "$SKYLARKMAST_HOME" || exit 2
if [ ! -x target/runtime/bin/java ] || [ ! -f target/node/node.jar ]; then
  echo "the build of the deploy file is missing" >&2
  exit 2
fi
if [ ! -f "target/review-4/$1.class" ]; then
  bash review/build-4.sh || exit 2
fi
exec "$JAVA_HOME/bin/java" -Xmx512m -cp target/review-4 "$1" "$2/record.txt"
