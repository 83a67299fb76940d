#!/bin/bash
# Builds the stand-ins of cases 11 to 15; run it in the repository after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac --release 17 -encoding UTF-8 -d target/review-3 review/harness-3/*.java
