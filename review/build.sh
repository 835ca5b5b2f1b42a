#!/bin/sh
# Builds the stand-ins and drivers of the review's scripts into review/bin. It needs only
# the standard library and works without a network once the modules are in the cache.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
GOWORK=off go build -tags review -o review/bin/ ./review/[1-5]
