#!/bin/sh
# Runs the driver of a case: run-case.sh FOLDER TROUBLE. TROUBLE is 0 to leave the disruption
# out. See review/REPORT.md.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
driver=$root/review/bin/$(basename "$folder")
if [ ! -x "$driver" ] || [ ! -x "$root/target/fulmarspindle" ]; then
	echo "run the build of deploy/system.toml and review/build.sh first" >&2
	exit 2
fi
exec "$driver" "$root" "$folder" "$2"
