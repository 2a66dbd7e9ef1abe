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

# Builds the programs unless they are built from the sources as they are.
build_if_needed() {
  local stamp="$SKYLARKMAST_HOME/skylarkmast-dist/target/built"
  if [ -e "$stamp" ] && [ -z "$(find "$SKYLARKMAST_HOME" -path '*/src/main/*' -newer "$stamp" -print -quit)" ]; then
    return 0
  fi
  require_maven
  echo "building ..." >&2
  (cd "$SKYLARKMAST_HOME" \
    && mvn -q -B -Dmaven.test.skip=true -Dspotless.check.skip -Dcheckstyle.skip package >&2)
  touch "$stamp"
}

# Runs a main class of the built programs in place of this shell.
run_java() {
  local heap="$1" main="$2"
  shift 2
  exec "$JAVA_HOME/bin/java" "-Xmx$heap" -XX:+UseSerialGC -Dfile.encoding=UTF-8 \
    --enable-native-access=ALL-UNNAMED --sun-misc-unsafe-memory-access=allow \
    -cp "$SKYLARKMAST_HOME/skylarkmast-dist/target/lib/*" "$main" "$@"
}
