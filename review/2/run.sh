#!/usr/bin/env bash
# Plays the case restarted-machine. Exit code 1: the rule was broken, 0: it held, 2: the case couldn't run.
# With TROUBLE=0 it plays the same without the disruption.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
if [ ! -x "$root/target/rockrun" ] || [ ! -x "$root/target/review-rig" ]; then
	echo "build first: the build of deploy/service.toml, then review/build.sh" >&2
	exit 2
fi
exec "$root/target/review-rig" restarted-machine "$root" record.txt
