#!/usr/bin/env bash
# Sets up, builds and runs the main job with stand-ins on loopback: six nodes,
# twelve instances, a mixed load. Prints outcomes and latencies.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
WORK=$(mktemp -d)
. scripts/fleet.sh
trap 'fleet_stop; rm -rf "$WORK"' EXIT
fleet_start bookings
cat >"$WORK/base.json" <<'JSON'
{
  "sites": ["hobart", "launceston", "burnie"],
  "services": {
    "bookings": {"instances": 12, "floor": 9, "retries": {"max_attempts": 3}}
  },
  "routes": {
    "status": {"host": "move.example", "path": "/status", "service": "bookings"},
    "book": {"host": "move.example", "path": "/bookings", "service": "bookings"}
  }
}
JSON
for try in $(seq 100); do
  curl -sf -o "$WORK/published" "http://$FLEET_LOG/records" --data-binary \
    "{\"record\": $(python3 -c 'import json,sys; print(json.dumps(open(sys.argv[1]).read()))' "$WORK/base.json")}" &&
    break
  sleep 0.1
done
fleet_wait_ready move.example /status/ready
build/bin/load_generator --targets="$(fleet_targets)" --host=move.example \
  --read_path=/status --write_path=/bookings --rate=300 --seconds=5
