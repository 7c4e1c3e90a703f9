#!/usr/bin/env bash
# What a node adds to a request, in one run on one machine: the same load goes
# to a backend stand-in directly, through the node beside it (one hop) and
# through another node (two hops). Prints latencies, ratios, requests that one
# core could carry, and the memory of a node. Needs a built build/.
set -euo pipefail
cd "$(dirname "$0")/../.."
WORK=$(mktemp -d)
. scripts/fleet.sh
trap 'fleet_stop; rm -rf "$WORK"' EXIT

readonly RATE=${RATE:-300}
readonly SECONDS_EACH=${SECONDS_EACH:-5}
readonly ROUNDS=${ROUNDS:-3}
readonly LATENCY_MS=2

fleet_run log build/bin/log_service --listen="$FLEET_LOG"
for node in 1 2; do
  fleet_settings "$node" >"$WORK/node$node.json"
  fleet_run "node$node" build/bin/sequoiastaged --settings="$WORK/node$node.json"
done
readonly PIDS=("${FLEET_PIDS[1]}" "${FLEET_PIDS[2]}")
fleet_run backend build/bin/backend_server --slots=64 \
  --latency_ms=$LATENCY_MS --listen="$(fleet_address 1 19001)" \
  --announce="$(fleet_address 1 18083)" --service=bookings
fleet_base >"$WORK/base.json"
fleet_publish "$WORK/base.json"
fleet_wait_ready move.example /status/ready 1 2

# Processor time of process PID so far, in clock ticks.
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }

# Latencies of one load: "p50 p99" in ms.
measure() {
  build/bin/load_generator --targets="$1" --host=move.example \
    --read_path=/status --write_share=0 --rate="$RATE" \
    --seconds="$SECONDS_EACH" --seed="$2" | tee -a "$WORK/load.txt" |
    awk '$1 == "latency_ms" {print $3, $5}'
}

for round in $(seq "$ROUNDS"); do
  direct=$(measure "$(fleet_address 1 19001)" "$round")
  before=$(ticks "${PIDS[0]}")
  one=$(measure "$(fleet_address 1 18080)" "$round")
  after=$(ticks "${PIDS[0]}")
  two=$(measure "$(fleet_address 2 18080)" "$round")
  echo "$direct $one $two" | awk -v round="$round" -v cpu=$((after - before)) \
    -v hz="$(getconf CLK_TCK)" -v requests=$((RATE * SECONDS_EACH)) '{
      printf "round %d ms: direct p50 %.2f p99 %.2f", round, $1, $2
      printf " | one hop +%.2f +%.2f (x%.2f x%.2f)", $3-$1, $4-$2, $3/$1, $4/$2
      printf " | two hops +%.2f +%.2f (x%.2f x%.2f)", $5-$1, $6-$2, $5/$1, $6/$2
      printf " | one hop: %.0f requests/s a core\n", requests * hz / cpu
    }'
done
for pid in "${PIDS[@]}"; do
  awk '/VmRSS/ {printf "resident memory of a node: %.1f MB\n", $2 / 1024}' \
    "/proc/$pid/status"
done
