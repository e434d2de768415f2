#!/usr/bin/env bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, with 0 if it held,
# and with 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/target/review-2/copiedentry"
if [ ! -x "$program" ] || [ ! -x "$root/target/tanagerspread" ]; then
	echo "build the program first: the build of deploy/system.toml and review/build-2.sh" >&2
	exit 2
fi
exec "$program" -root "$root" -record "$here/record.txt"
