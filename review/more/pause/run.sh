#!/usr/bin/env bash
# Plays the case "pause" and writes record.txt here. Exit code: 1 the rule was broken, 0 it
# held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
[ -x "$here/../../bin/standin" ] || { echo "run review/build.sh first"; exit 2; }
[ -x "$here/../../../target/filbertstall" ] || { echo "build the project as the deploy file says first"; exit 2; }
exec "$here/../../bin/standin" pause "$here/../../.." "$here"
