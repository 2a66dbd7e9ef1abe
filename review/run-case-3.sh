# Sourced by the run.sh of a case with the folder and the main class of the case.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case_folder="$(cd "$1" && pwd)"
source "$case_folder/../../bin/common.sh"
find_java
if [ ! -x "$SKYLARKMAST_HOME/target/runtime/bin/java" ] || [ ! -e "$SKYLARKMAST_HOME/target/review-3/$2.class" ]; then
  echo "error: run the build of the deploy file and review/build-2.sh first" >&2
  exit 2
fi
timeout 115 "$JAVA_HOME/bin/java" -cp "$SKYLARKMAST_HOME/target/review-3" "$2" \
  "$case_folder" "$SKYLARKMAST_HOME"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
