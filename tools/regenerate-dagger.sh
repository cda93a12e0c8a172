#!/usr/bin/env bash
# Regenerates the committed Dagger sources after a change of a module or component.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf router/target/regenerated router/target/regenerated-classes router/target/classes
mvn -B -q -Dregenerate -pl router compile
rm -rf router/src/generated/java
cp -r router/target/regenerated router/src/generated/java
