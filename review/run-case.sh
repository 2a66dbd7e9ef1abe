# Sourced by the run.sh of each case with the name of its class: runs the case from target/review.
case_folder="$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)"
source "$(dirname "${BASH_SOURCE[0]}")/../bin/common.sh"
find_java
cd "$SKYLARKMAST_HOME"
if [ ! -e target/review/CaseMain.class ] || [ ! -x target/runtime/bin/java ]; then
  echo "not built: run the build of deploy/system.toml and review/build.sh" >&2
  exit 2
fi
exec "$JAVA_HOME/bin/java" -Xmx512m -cp target/review CaseMain "$1" "$case_folder"
