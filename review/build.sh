#!/bin/sh
# Compiles the stand-ins of the review with the JDK alone, into review/build.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac -encoding UTF-8 -d build standins/*.java
