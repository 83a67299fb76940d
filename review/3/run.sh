#!/bin/sh
# Plays the case and writes record.txt in this folder; TROUBLE=0 leaves out the disruption. Run review/build.sh first.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -f target/review/review/LargeTurn.class ] || { echo "run review/build.sh first" >&2; exit 2; }
[ -f target/edge/chestnutloom-edge.jar ] || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
exec java -cp target/review review.LargeTurn "$folder"
