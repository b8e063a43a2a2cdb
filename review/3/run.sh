#!/usr/bin/env bash
# Plays the case. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x review/bin/standin ] || [ ! -x bin/sidecar ]; then
    echo 'build first: the line "build" of deploy/balancer.toml, then review/build.sh' >&2
    exit 2
fi
exec review/bin/standin cut review/3
