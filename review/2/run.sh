#!/bin/sh
# Plays the case; TROUBLE=0 leaves out the disruption. Run review/build.sh first.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
exec java -cp target/review review.LargeTurn "$folder"
