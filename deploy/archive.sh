#!/usr/bin/env bash
# Writes an archive of loaded classes, which shortens the start of a process. A missing archive costs only time.
# The paths of the jar and the archive are those of the deploy file, since the archive records them.
set -uo pipefail
cd "$(dirname "$0")/.."
rm -rf router/target/training
java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx128m -Dlog4j2.level=OFF \
    -jar testbed/target/magnoliaseam-testbed-0.1.0-all.jar train \
    --jar router/target/magnoliaseam-router-0.1.0-all.jar \
    --archive router/target/magnoliaseam.jsa --folder router/target/training > router/target/archive.log 2>&1
exit 0
