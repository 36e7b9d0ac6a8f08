# The fleet of the fault tests, and the faults.  Needs fleet_lib.sh, FLEET, BIN,
# PORTS and SEED.

DAEMONS=(entry-1 entry-2 entry-3)
ENGINES=(engine-0a engine-0b engine-0c engine-1a engine-1b engine-1c
  engine-2a engine-2b engine-2c)
SERVICES=(booking-1 booking-2)
MODEL=draft
LAYERS=24
RATE=20000
LOAD_S=6
CONNECTIONS=48 # the stand-in runs one thread for each

# record EVENT [MEMBERS]: writes an event to the journal of the fault test.
record ()
{
  "$BIN/standin-journal" "$FLEET/campaign.journal" "$@"
}

# start_monitored NAME COMMAND...: like start_process, but also writes the exit
# status to NAME.status when the process ends.
start_monitored ()
{
  local name=$1
  shift
  rm -f "$FLEET/$name.pid" "$FLEET/$name.status"
  : > "$FLEET/$name.out"
  (
    status=0
    sh -c 'echo $$ > "$0.new"; mv "$0.new" "$0"; exec "$@"' \
      "$FLEET/$name.pid" "$@" > "$FLEET/$name.out" 2>> "$FLEET/$name.log" \
      || status=$?
    echo $status > "$FLEET/$name.status"
  ) 2> /dev/null &
  wait_for 5 test -e "$FLEET/$name.pid"
}

# fixed_port NAME: prints the port of a process, which stays the same over
# restarts.
fixed_port ()
{
  local name index=0
  for name in "${ENGINES[@]}" "${SERVICES[@]}" "${DAEMONS[@]}"; do
    [ "$name" != "$1" ] || break
    index=$((index + 1))
  done
  echo $((PORTS + index))
}

run_engine ()
{
  local group=${1#engine-}
  group=${group%?}
  start_monitored "$1" "$BIN/standin-engine" --port "$(fixed_port "$1")" --name "$1" \
    --model $MODEL --layers $LAYERS --range $((group * 8))-$((group * 8 + 8)) \
    --layer-tokens-per-s $RATE --platform "$PLATFORM" \
    --connections $CONNECTIONS \
    --journal "$FLEET/$1.journal"
  wait_for 10 has_port "$1"
}

run_service ()
{
  start_monitored "$1" "$BIN/standin-service" --port "$(fixed_port "$1")" --name "$1" \
    --journal "$FLEET/$1.journal"
  wait_for 10 has_port "$1"
}

run_daemon ()
{
  start_monitored "$1" "$BIN/kumquatthread" serve "$FLEET/$1.yaml"
  wait_for 10 daemon_printed "$1"
}

caller_url ()
{
  echo "http://127.0.0.1:$(fixed_port "$1")"
}

operator_url ()
{
  echo "http://127.0.0.1:$(($(fixed_port "$1") + 10))"
}

write_daemon_settings ()
{
  write_settings "$1" kingston-1 $(($(fixed_port "$1") + 5)) \
    "127.0.0.1:$(($(fixed_port entry-1) + 5)), 127.0.0.1:$(($(fixed_port entry-2) + 5))"
  sed -i "s/^caller_address: .*/caller_address: 127.0.0.1:$(fixed_port "$1")/
    s/^operator_address: .*/operator_address: 127.0.0.1:$(($(fixed_port "$1") + 10))/" \
    "$FLEET/$1.yaml"
}

host_lines ()
{
  local name
  for name in "${ENGINES[@]}"; do
    echo "  - {name: $name, address: '127.0.0.1:$(fixed_port "$name")'," \
      "role: engine, data_centre: kingston-1, kind: l4, accelerators: 1," \
      "memory_mib: 8192, layer_tokens_per_s: $RATE, fencing: checked}"
  done
  for name in "${SERVICES[@]}"; do
    echo "  - {name: $name, address: '127.0.0.1:$(fixed_port "$name")'," \
      "role: service, data_centre: kingston-1, service: bookings}"
  done
}

# write_configuration VERSION FILE: writes the configuration; the queue length
# depends on VERSION, so that versions differ.
write_configuration ()
{
  cat > "$2" <<END
version: $1
accounts:
  - {name: clerks, token_sha256: $(sha256 clerk-token), requests_per_s: 200, tokens_per_s: 20000, streams: 200, weight: 1}
  - {name: lab, token_sha256: $(sha256 lab-token), requests_per_s: 200, tokens_per_s: 20000, streams: 200, weight: 1}
models:
  - {name: $MODEL, layers: $LAYERS, layer_memory_mib: 512, activation_bytes: 16, demand_weight: 1}
data_centres:
  - {name: kingston-1, region: kingston}
hosts:
$(host_lines)
services:
  - {name: bookings, idempotent: [{method: GET, path_prefix: /}]}
rules: {profile: recovery, spare_hosts: 1, queue_length: $((200 + $1 % 100))}
END
}

# config_version DAEMON: prints the version that the daemon reports as in force;
# nothing if the daemon doesn't answer.
config_version ()
{
  curl -s --max-time 1 -H "Authorization: Bearer $(cat "$FLEET/operator.token")" \
    "$(operator_url "$1")/v1/status" \
    | sed -n 's/.*"config_version":\([0-9]*\).*/\1/p'
}

# publish_as PUBLISHER DAEMON VERSION: publishes VERSION at DAEMON and journals
# the publication; fails if DAEMON rejects it.
publish_as ()
{
  local file=$FLEET/configuration-$1.yaml
  write_configuration "$3" "$file"
  "$BIN/kumquatthread" config publish "$file" \
    --operator "$(operator_url "$2")" --token-file "$FLEET/operator.token" \
    >> "$FLEET/publish.log" 2>&1 || return 1
  record published "\"version\":$3,\"publisher\":\"$1\""
}

start_fleet ()
{
  local name
  write_secrets
  start_monitored platform "$BIN/standin-platform" --port $((PORTS + 39)) \
    --journal "$FLEET/platform.journal" --list-lag-ms 1000
  wait_for 10 has_port platform
  PLATFORM=http://127.0.0.1:$((PORTS + 39))
  for name in "${ENGINES[@]}"; do run_engine "$name"; done
  for name in "${SERVICES[@]}"; do run_service "$name"; done
  for name in "${DAEMONS[@]}"; do
    write_daemon_settings "$name"
    run_daemon "$name"
  done
  wait_for 20 publish_as first entry-1 1
  for name in "${DAEMONS[@]}"; do
    wait_for 20 curl -sf "$(caller_url "$name")/readyz"
  done
}

load_fleet ()
{
  local name callers=()
  for name in "${DAEMONS[@]}"; do callers+=(--caller "$(caller_url "$name")"); done
  "$BIN/standin-load" "${callers[@]}" --model $MODEL --layers $LAYERS \
    --account clerks,clerk-token,closed=10 --account lab,lab-token,open=4 \
    --service bookings --bookings-per-s 10 --lookups-per-s 5 --twins 30 --repeats 50 \
    --warmup-s 0 --seconds $LOAD_S --drain-s 60 --seed "$SEED" \
    --journal "$FLEET/load.journal" --summary "$FLEET/load.summary"
  cat "$FLEET/load.summary" >> "$FLEET/load.summaries"
}

# poll_versions: journals the version that each daemon reports as in force,
# twice a second, without end.
poll_versions ()
{
  local name version
  while :; do
    for name in "${DAEMONS[@]}"; do
      version=$(config_version "$name" || true)
      if [ "${version:-0}" -gt 0 ]; then
        record version "\"daemon\":\"$name\",\"version\":$version"
      fi
    done
    sleep 0.5
  done
}

# print_total NAME EVENT OUTCOME: prints how many answers ended with OUTCOME.
print_total ()
{
  local count
  count=$(grep "\"event\":\"$2\"" "$FLEET/load.journal" \
    | grep -c "\"outcome\":\"$3\"" || true)
  echo "$1.$3 $count count -"
}

print_totals ()
{
  local outcome
  for outcome in whole refused failed cut unconnected; do
    print_total drafts draft "$outcome"
    print_total booking_calls call "$outcome"
  done
}

# The faults: each takes a target and a length in seconds, and undoes its effect
# at the end.  Some ignore the target, or use the length as a number of answers.

# fault PORT BODY: sends an order to inject a fault to a stand-in.
fault ()
{
  curl -s --max-time 5 -d "$2" "http://127.0.0.1:$1/fault" > /dev/null || true
}

kill_process ()
{
  kill -KILL "$(process_id "$1")" 2> /dev/null || true
  wait_for 5 test -e "$FLEET/$1.status"
}

freeze ()
{
  local pid
  pid=$(process_id "$1")
  kill -STOP "$pid" 2> /dev/null || true
  sleep "$2"
  kill -CONT "$pid" 2> /dev/null || true
}

# run_exclusively NAME COMMAND...: runs COMMAND unless another fault is just
# restarting NAME.
run_exclusively ()
{
  local name=$1
  shift
  if mkdir "$FLEET/$name.busy" 2> /dev/null; then
    "$@"
    rmdir "$FLEET/$name.busy"
  fi
}

# kill_and_run START NAME SECONDS: kills a process and restarts it after SECONDS
# with the function START.
kill_and_run ()
{
  kill_process "$2"
  sleep "$3"
  "$1" "$2"
}

kill_engine () { run_exclusively "$1" kill_and_run run_engine "$1" "$2"; }
kill_service () { run_exclusively "$1" kill_and_run run_service "$1" "$2"; }
freeze_engine () { freeze "$1" "$2"; }
freeze_service () { freeze "$1" "$2"; }
freeze_daemon () { freeze "$1" "$2"; }

silence_engine () { fault "$(fixed_port "$1")" '{"silent_connections": true}'; }
silence_service () { silence_engine "$1"; }
silence_platform () { fault $((PORTS + 39)) '{"silent_connections": true}'; }

slow_engine ()
{
  fault "$(fixed_port "$1")" '{"slow": 10}'
  sleep "$2"
  fault "$(fixed_port "$1")" '{"slow": 1}'
}

late_engine ()
{
  fault "$(fixed_port "$1")" "{\"late_answers\": 5, \"late_ms\": $(($2 * 500))}"
}

cross_engine () { fault "$(fixed_port "$1")" "{\"cross_answers\": $2}"; }

leave_engine ()
{
  fault "$(fixed_port "$1")" '{"leaving": true}'
  sleep $((3 + $2))
  fault "$(fixed_port "$1")" '{"leaving": false}'
}

list_leaving ()
{
  fault $((PORTS + 39)) "{\"leaving\": \"$1\"}"
  sleep $((4 + $2))
  fault $((PORTS + 39)) "{\"live\": \"$1\"}"
}

log_down () { fault $((PORTS + 39)) "{\"down_ms\": $(($2 * 1000))}"; sleep "$2"; }
list_down () { fault $((PORTS + 39)) "{\"list_down_ms\": $(($2 * 1000))}"; sleep "$2"; }
log_lose () { fault $((PORTS + 39)) "{\"lose_answers\": $2}"; }

log_slow ()
{
  fault $((PORTS + 39)) '{"slow_ms": 300}'
  sleep "$2"
  fault $((PORTS + 39)) '{"slow_ms": 0}'
}

lose_service () { fault "$(fixed_port "$1")" "{\"lose_answers\": $2}"; }
not_run_service () { fault "$(fixed_port "$1")" "{\"not_run\": $2}"; }

kill_daemon_now ()
{
  record daemon_killed "\"caller\":\"$(caller_url "$1")\""
  kill_process "$1"
  sleep "$2"
  run_daemon "$1"
}

kill_daemon () { run_exclusively "$1" kill_daemon_now "$1" "$2"; }

# stop_daemon_now DAEMON: stops a daemon as planned, journals its exit status,
# or -1 if it doesn't exit within 60 s, and restarts it.
stop_daemon_now ()
{
  local status=-1
  record planned_stop "\"caller\":\"$(caller_url "$1")\""
  kill -TERM "$(process_id "$1")"
  if wait_for 60 test -s "$FLEET/$1.status"; then
    status=$(cat "$FLEET/$1.status")
  else
    kill_process "$1"
  fi
  record stopped "\"caller\":\"$(caller_url "$1")\",\"status\":$status"
  run_daemon "$1"
}

stop_daemon () { run_exclusively "$1" stop_daemon_now "$1"; }

publish ()
{
  local version
  version=$(config_version "$1" || true)
  [ -z "$version" ] || publish_as one "$1" $((version + 1)) || true
}

# Two operators publish with the same base version at two daemons at once.
race ()
{
  local version other=${DAEMONS[0]}
  [ "$1" != "$other" ] || other=${DAEMONS[1]}
  version=$(config_version "$1" || true)
  [ -n "$version" ] || return 0
  publish_as one "$1" $((version + 1)) &
  publish_as two "$other" $((version + 1)) || true
  wait $! || true
}
