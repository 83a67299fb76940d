#!/bin/sh
# Compiles the stand-ins and the scripted cases into target/review; needs only the JDK.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac --release 17 -d target/review $(find review -name '*.java')
