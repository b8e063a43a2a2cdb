#!/usr/bin/env bash
# Plays the case that claim.txt describes and writes record.txt. TROUBLE=0 leaves out the disruption. Exits with 1 if
# the rule was broken, with 0 if it held, and with 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x bin/sidecar ] || [ ! -x bin/review-standin2 ]; then
    echo 'run the build of deploy/balancer.toml and review/build-2.sh first' >&2
    exit 2
fi
exec bin/review-standin2 spoilt "$here/record.txt"
