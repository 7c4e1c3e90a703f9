#!/usr/bin/env bash
# Builds what it runs and shows a small mesh on loopback: sequoiameshd nodes, the
# stand-in of the platform's store, instances, and callers of two client
# accounts, one of them over its limit. Arguments are passed on to meshdemo.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh meshdemo
build/bin/meshdemo "$@"
