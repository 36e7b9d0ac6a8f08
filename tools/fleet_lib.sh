# Functions that start and stop a fleet of real processes on loopback.
# Needs FLEET (an exclusive folder) and BIN (the build folder).

# start_process NAME COMMAND...: starts COMMAND in the background.  Standard
# output goes to NAME.out, standard error to NAME.log and the process id to
# NAME.pid, all in FLEET.
start_process ()
{
  local name=$1
  shift
  "$@" > "$FLEET/$name.out" 2>> "$FLEET/$name.log" &
  echo $! > "$FLEET/$name.pid"
  disown $!
}

process_id ()
{
  cat "$FLEET/$1.pid"
}

# wait_for SECONDS COMMAND...: repeats COMMAND until it succeeds; fails after
# SECONDS.
wait_for ()
{
  local until=$((SECONDS + $1))
  shift
  while ! "$@" > /dev/null 2>&1; do
    if [ "$SECONDS" -ge "$until" ]; then
      echo "timed out waiting for: $*" >&2
      return 1
    fi
    sleep 0.05
  done
}

# port_of NAME: prints the port that a stand-in reported on standard output.
port_of ()
{
  awk '$1 == "ready" { print $2 }' "$FLEET/$1.out"
}

has_port ()
{
  [ -n "$(port_of "$1")" ]
}

# address_of DAEMON caller|operator: prints the address that a daemon reported
# on standard output.
address_of ()
{
  awk -v what="$2" '$1 == what { print $2 }' "$FLEET/$1.out"
}

start_platform ()
{
  start_process platform "$BIN/standin-platform" --port 0 \
    --journal "$FLEET/platform.journal"
  wait_for 10 has_port platform
  PLATFORM="http://127.0.0.1:$(port_of platform)"
}

# start_engine NAME MODEL LAYERS RANGE RATE FENCING: starts a stand-in engine;
# RANGE may be `none'.
start_engine ()
{
  local range=()
  [ "$4" = none ] || range=(--range "$4")
  start_process "$1" "$BIN/standin-engine" --port 0 --name "$1" \
    --model "$2" --layers "$3" "${range[@]}" --layer-tokens-per-s "$5" \
    --fencing "$6" --platform "$PLATFORM" ${ENGINE_OPTIONS:-} \
    --journal "$FLEET/$1.journal"
}

# start_service NAME: starts a stand-in service.
start_service ()
{
  start_process "$1" "$BIN/standin-service" --port 0 --name "$1" \
    --journal "$FLEET/$1.journal"
}

# write_settings NAME DATA_CENTRE PEER_PORT SEEDS: writes the settings of one
# daemon.
write_settings ()
{
  cat > "$FLEET/$1.yaml" <<END
name: $1
data_centre: $2
caller_address: 127.0.0.1:0
operator_address: 127.0.0.1:0
peer_address: 127.0.0.1:$3
log_urls: [$PLATFORM]
host_list_url: $PLATFORM
seeds: [$4]
operator_token_file: operator.token
peer_secret_file: peer.secret
log_level: ${LOG_LEVEL:-notice}
traffic_threads: ${TRAFFIC_THREADS:-64}
caller_timeout_ms: 30000
END
}

start_daemon ()
{
  start_process "$1" "$BIN/kumquatthread" serve "$FLEET/$1.yaml"
  wait_for 10 daemon_printed "$1"
}

daemon_printed ()
{
  [ -n "$(address_of "$1" operator)" ]
}

is_ready ()
{
  curl -sf "http://$(address_of "$1" caller)/readyz"
}

# operator DAEMON COMMAND...: runs an operator's command against one daemon.
operator ()
{
  local daemon=$1
  shift
  "$BIN/kumquatthread" "$@" --operator "http://$(address_of "$daemon" operator)" \
    --token-file "$FLEET/operator.token"
}

sha256 ()
{
  printf %s "$1" | sha256sum | cut -d' ' -f1
}

# write_secrets: writes the operators' token and the daemons' shared secret.
write_secrets ()
{
  echo "operator-$$-$RANDOM" > "$FLEET/operator.token"
  echo "peers-$$-$RANDOM" > "$FLEET/peer.secret"
}

# stop_all: kills every process whose id is in FLEET, also if it is stopped.
stop_all ()
{
  local file pid
  for file in "$FLEET"/*.pid; do
    [ -e "$file" ] || continue
    pid=$(cat "$file")
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
}
