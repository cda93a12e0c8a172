#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on; they need nothing but the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/stand2/*.java
