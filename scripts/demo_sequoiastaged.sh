#!/usr/bin/env bash
# Builds what it runs and sends a mixed load to sequoiastaged with stand-ins on
# loopback: six nodes, twelve instances. Prints outcomes and latencies.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh log_service sequoiastaged backend_server sequoiactl \
  load_generator
WORK=$(mktemp -d)
. scripts/fleet.sh
trap 'fleet_stop; rm -rf "$WORK"' EXIT
fleet_start bookings
fleet_base >"$WORK/base.json"
fleet_publish "$WORK/base.json"
fleet_wait_ready move.example /status/ready
build/bin/load_generator --targets="$(fleet_targets)" --host=move.example \
  --read_path=/status --write_path=/bookings --rate=300 --seconds=5
