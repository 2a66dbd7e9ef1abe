# Sourced by the scripts beside it: finds a JDK of the release the project is built for.
SKYLARKMAST_HOME="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
REQUIRED_JAVA=25

java_release() {
  "$1/bin/java" -version 2>&1 | sed -n 's/.*version "\([0-9]*\).*/\1/p' | head -n 1
}

find_java() {
  local candidate
  for candidate in "${JAVA_HOME:-}" /usr/lib/jvm/*"$REQUIRED_JAVA"* /opt/java/*"$REQUIRED_JAVA"*; do
    if [ -x "$candidate/bin/javac" ] && [ "$(java_release "$candidate")" = "$REQUIRED_JAVA" ]; then
      export JAVA_HOME="$candidate"
      return 0
    fi
  done
  echo "error: no JDK $REQUIRED_JAVA found; set JAVA_HOME to one" >&2
  exit 2
}

require_maven() {
  if ! command -v mvn >/dev/null 2>&1; then
    echo "error: Maven (mvn) is not on the PATH" >&2
    exit 2
  fi
}
