#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not
# run. TROUBLE=0 runs it without the disruption.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
source bin/common.sh
find_java || exit 2
if [ ! -x target/runtime/bin/java ] || [ ! -e target/node/node.jar ] || [ ! -e target/review-11/Case.class ]; then
  echo "error: run the build of the deploy file and review/build-3.sh first" >&2
  exit 2
fi
timeout -k 3 112 "$JAVA_HOME/bin/java" -Xmx256m -Djdk.httpclient.allowRestrictedHeaders=host \
  -cp target/review-11 Case 11 "$PWD" review/11/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
