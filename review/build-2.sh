#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on; they need nothing but the JDK.
set -euo pipefail
cd "$(dirname "$0")"
out=../target/review-2
rm -rf "$out"
mkdir -p "$out"
javac -Xlint:all -d "$out" Site2.java Store2.java Replica2.java Config2.java \
    LargeBodies.java SlowReader.java ConfigStorm.java WatchCut.java FractionalGrace.java
