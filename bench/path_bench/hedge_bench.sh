#!/usr/bin/env bash
# What copies of long-running idempotent requests bring and cost while one of
# twelve instances is five times slow: two nodes of one region, a new fleet for
# each setting and round, all settings in one run. Prints latencies, executions
# for a request, and how many of them the slow instance had. Needs a built
# build/.
set -euo pipefail
cd "$(dirname "$0")/../.."
WORK=$(mktemp -d)
. scripts/fleet.sh
trap 'fleet_stop; rm -rf "$WORK"' EXIT

readonly RATES=${RATES:-180 480}
readonly SETTINGS=${SETTINGS:-off 0.99 0.95 0.9}
readonly SECONDS_EACH=${SECONDS_EACH:-10}
readonly ROUNDS=${ROUNDS:-2}
# One slot and 20 ms: an instance does 50 requests a second, all of them 600.
readonly LATENCY_MS=20
readonly PER_NODE=6

# A base configuration; $1 is "off" or the quantile.
base() {
  local hedge='"hedge": false'
  if [ "$1" != off ]; then hedge="\"hedge\": true, \"hedge_quantile\": $1"; fi
  fleet_base | sed "s/\"max_attempts\": 3/\"max_attempts\": 3, $hedge/"
}

# Sum of a metric over both nodes.
metric() {
  local node
  for node in 1 2; do
    curl -sf "http://$(fleet_address "$node" 18082)/metrics"
  done | awk -v name="sequoiastage_$1" '$1 == name {sum += $2}
    END {printf "%d", sum}'
}

slow_starts() {
  curl -sf "http://$(fleet_address 1 19001)/standin/executions" |
    sed 's/.*"total":\([0-9]*\).*/\1/'
}

start() {
  local node slot
  fleet_run log build/bin/log_service --listen="$FLEET_LOG"
  for node in 1 2; do
    fleet_settings "$node" >"$WORK/node$node.json"
    fleet_run "node$node" build/bin/sequoiastaged \
      --settings="$WORK/node$node.json"
    for slot in $(seq $PER_NODE); do
      fleet_run "backend$node-$slot" build/bin/backend_server --slots=1 \
        --latency_ms=$LATENCY_MS --listen="$(fleet_address "$node" 1900"$slot")" \
        --announce="$(fleet_address "$node" 18083)" --service=bookings
    done
  done
  base "$1" >"$WORK/base.json"
  fleet_publish "$WORK/base.json" >"$WORK/publish.log"
  fleet_wait_ready move.example /status/ready 1 2
}

load() {
  build/bin/load_generator --host=move.example --read_path=/status \
    --write_share=0 --rate="$1" --seconds="$2" --seed="$3" \
    --targets="$(fleet_address 1 18080),$(fleet_address 2 18080)"
}

for rate in $RATES; do
  for round in $(seq "$ROUNDS"); do
    for setting in $SETTINGS; do
      start "$setting"
      load "$rate" 3 "$round" >"$WORK/warm-up.txt"
      curl -sf -X POST -o "$WORK/mode" \
        "http://$(fleet_address 1 19001)/standin/mode?mode=slow"
      started=$(metric egress_started_total)
      hedges=$(metric hedges_total)
      slow=$(slow_starts)
      load "$rate" "$SECONDS_EACH" "$round" >"$WORK/load.txt"
      awk -v rate="$rate" -v round="$round" -v setting="$setting" \
        -v started=$(($(metric egress_started_total) - started)) \
        -v hedges=$(($(metric hedges_total) - hedges)) \
        -v won="$(metric hedges_won_total)" -v slow=$(($(slow_starts) - slow)) \
        -v far="$(metric other_region_bytes_total)" '
        $1 == "requests" {requests = $2}
        $1 == "outcome" && $2 == "answered" {answered = $3}
        $1 == "latency_ms" {
          printf "rate %s round %d hedge %s: answered %.4f", rate, round,
            setting, answered / requests
          printf " p50 %.1f p99 %.1f p99.9 %.1f ms", $3, $5, $9
          printf " | executions %.3f copies %.4f", started / requests,
            hedges / requests
          printf " won %d | at the slow instance %d", won, slow
          printf " | bytes to other regions %d\n", far
        }' "$WORK/load.txt"
      fleet_stop
    done
  done
done
