# Functions that start and stop a fleet with stand-ins on loopback addresses:
# the log service, six nodes (three regions with two failure domains each) and
# two instances beside each node. Source it, set WORK to an empty folder, and
# call fleet_start; fleet_stop ends what it started.

readonly FLEET_NODES=6
readonly FLEET_REGIONS=(hobart launceston burnie)
# First two bytes of all addresses; other fleets on this machine take others.
readonly FLEET_NET=${FLEET_NET:-127.0}
readonly FLEET_LOG=$FLEET_NET.0.2:19000
FLEET_PIDS=()

fleet_address() { echo "$FLEET_NET.$1.1:$2"; }

fleet_endpoint() { echo "{\"ip\": \"$FLEET_NET.$1.1\", \"port\": $2}"; }

fleet_settings() {
  local node=$1 region=${FLEET_REGIONS[($1 - 1) / 2]}
  cat <<JSON
{
  "listen": $(fleet_endpoint "$node" 18080),
  "peer": $(fleet_endpoint "$node" 18081),
  "admin": $(fleet_endpoint "$node" 18082),
  "announce": $(fleet_endpoint "$node" 18083),
  "region": "$region",
  "failure_domain": "$region-$((($node - 1) % 2))",
  "site": "$region",
  "log": {"ip": "${FLEET_LOG%:*}", "port": ${FLEET_LOG#*:}},
  "seeds": [$(fleet_endpoint 1 18081), $(fleet_endpoint 2 18081)]
}
JSON
}

fleet_run() {
  local name=$1
  shift
  "$@" 2>"$WORK/$name.log" &
  FLEET_PIDS+=($!)
}

fleet_start() {
  local service=$1 node slot
  fleet_run log build/bin/log_service --listen="$FLEET_LOG"
  for node in $(seq $FLEET_NODES); do
    fleet_settings "$node" >"$WORK/node$node.json"
    fleet_run "node$node" build/bin/sequoiastaged \
      --settings="$WORK/node$node.json"
    for slot in 1 2; do
      fleet_run "backend$node-$slot" build/bin/backend_server \
        --listen="$(fleet_address "$node" 1900$slot)" \
        --announce="$(fleet_address "$node" 18083)" --service="$service"
    done
  done
}

fleet_targets() {
  local node
  for node in $(seq $FLEET_NODES); do fleet_address "$node" 18080; done |
    paste -sd,
}

# A base configuration for the fleet.
fleet_base() {
  cat <<JSON
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
}

# Runs sequoiactl against the administration API of node 1.
fleet_ctl() {
  build/bin/sequoiactl --admin="$(fleet_address 1 18082)" "$@"
}

# Publishes FILE as the first base of the fleet.
fleet_publish() {
  local file=$1 try
  for try in $(seq 100); do
    if fleet_ctl status >"$WORK/status" 2>&1; then
      break
    fi
    sleep 0.1
  done
  fleet_ctl --author=fleet --from_version=none config publish "$file"
}

# fleet_wait_ready HOST PATH [NODE...]: waits until the nodes (all, where none
# is named) answer a request to PATH with 200.
fleet_wait_ready() {
  local host=$1 path=$2 node try
  shift 2
  for node in ${*:-$(seq $FLEET_NODES)}; do
    for try in $(seq 100); do
      if curl -sf -o "$WORK/ready" -H "Host: $host" \
        "http://$(fleet_address "$node" 18080)$path"; then
        break
      fi
      if [ "$try" = 100 ]; then
        echo "node $node does not serve $path" >&2
        return 1
      fi
      sleep 0.1
    done
  done
}

fleet_stop() {
  local pid
  for pid in "${FLEET_PIDS[@]}"; do kill "$pid" 2>"$WORK/kill.log" || true; done
  for pid in "${FLEET_PIDS[@]}"; do wait "$pid" || true; done
  FLEET_PIDS=()
}
