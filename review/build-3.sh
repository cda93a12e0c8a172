#!/usr/bin/env bash
# Builds the stand-ins of the third review (cases 11 to 15). They need a JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -nowarn -d target/review-3 review/Site3.java review/Config3.java review/Pipelined.java review/LateCrash.java review/CrashTogether.java review/NewParts.java
