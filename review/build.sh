#!/usr/bin/env bash
# Builds the stand-ins and the checks of the cases. They need the JDK alone.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -Xlint:all -d target standin/*.java
