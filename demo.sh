#!/usr/bin/env bash
# Shows a small site at work: ./demo.sh stops everything at the end, ./demo.sh --keep leaves it running.
set -euo pipefail
cd "$(dirname "$0")"
binary=router/target/magnoliaseam
testbed=testbed/target/magnoliaseam-testbed-0.1.0-all.jar

# Tells whether a file is missing or older than the sources of its module.
outdated() {
    [ ! -e "$1" ] || [ -n "$(find pom.xml "$2/pom.xml" "$2/src/main" -newer "$1" -print -quit)" ]
}

if outdated "$binary" router || outdated "$testbed" testbed; then
    echo "Building."
    mvn -B -q -Dmaven.test.skip=true package
fi
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx128m -Dlog4j2.level=OFF \
    -Dmagnoliaseam.binary="$PWD/$binary" -Dmagnoliaseam.testbed="$PWD/$testbed" \
    -jar "$testbed" demo "$@"
