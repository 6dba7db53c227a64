#!/bin/sh
# Plays the case "fraction-setting" with real daemons. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/siskind ] || [ ! -x target/review-standin ]; then
	echo "build first: the deploy file's build, then review/build.sh" >&2
	exit 2
fi
exec target/review-standin fraction-setting "$here"
