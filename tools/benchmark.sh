#!/usr/bin/env bash
# Runs the benchmarks of one dispatch decision and of one choice of an engine, with the bytes
# allocated for each.
# Arguments are passed on to JMH, for example: tools/benchmark.sh -p mQueued=10000
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf router/target/test-classes router/target/maven-status/maven-compiler-plugin/testCompile
mvn -B -q -o -Pbenchmark -pl router test-compile
repository="${MAVEN_REPOSITORY:-$HOME/.m2/repository}"
classpath="router/target/test-classes:router/target/classes"
for artifact in org/openjdk/jmh/jmh-core net/sf/jopt-simple/jopt-simple \
    org/apache/commons/commons-math3; do
    jar="$(find "$repository/$artifact" -name '*.jar' | sort | tail -n 1)"
    [ -n "$jar" ] || { echo "missing $artifact in $repository"; exit 1; }
    classpath="$classpath:$jar"
done
exec java -cp "$classpath" org.openjdk.jmh.Main "(Dispatch|Choice)Benchmark" -prof gc "$@"
