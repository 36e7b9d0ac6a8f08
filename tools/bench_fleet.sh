# The fleet of the benchmarks, in real processes on loopback: 6 daemons, 40
# engines of 4 kinds in three data centres, 3 booking services and 10 accounts,
# which is the size of the users' present fleet.  Needs fleet_lib.sh, FLEET, BIN
# and BENCH_SEED.

BENCH_MODEL=draft
BENCH_LAYERS=8
BENCH_DAEMONS=(entry-1 entry-2 entry-3 entry-4 entry-5 entry-6)
BENCH_ENGINES=40
BENCH_SERVICES=3
BENCH_ACCOUNTS=10
# Kind, layer tokens a second, memory in MiB (a layer takes 512).
BENCH_KINDS=('h100 2000 3072' 'a100 1300 2048' 'l40 800 1536' 'l4 400 1024')

bench_engine ()
{
  printf 'runner-%02d' "$1"
}

# bench_kind INDEX: prints the kind, rate and memory of an engine.
bench_kind ()
{
  echo "${BENCH_KINDS[$(($1 % 4))]}"
}

bench_data_centre ()
{
  echo "dc-$(($1 % 3 + 1))"
}

bench_token ()
{
  echo "token-$1-$BENCH_SEED"
}

bench_host_lines ()
{
  local index name kind rate memory port
  for index in $(seq 0 $((BENCH_ENGINES - 1))); do
    name=$(bench_engine "$index")
    read -r kind rate memory <<< "$(bench_kind "$index")"
    port=$((index + 1))
    [ -e "$FLEET/$name.out" ] && port=$(port_of "$name")
    echo "  - {name: $name, address: '127.0.0.1:$port', role: engine," \
      "data_centre: $(bench_data_centre "$index"), kind: $kind," \
      "accelerators: 4, memory_mib: $memory, layer_tokens_per_s: $rate," \
      "fencing: checked}"
  done
  for index in $(seq 1 $BENCH_SERVICES); do
    port=$((index + 100))
    [ -e "$FLEET/booking-$index.out" ] && port=$(port_of "booking-$index")
    echo "  - {name: booking-$index, address: '127.0.0.1:$port'," \
      "role: service, data_centre: dc-$index, service: bookings}"
  done
}

bench_account_lines ()
{
  local index weight=1
  for index in $(seq 1 $BENCH_ACCOUNTS); do
    weight=1
    [ "$index" -gt 2 ] || weight=4
    echo "  - {name: account-$index," \
      "token_sha256: $(sha256 "$(bench_token "$index")")," \
      "requests_per_s: ${ACCOUNT_REQUESTS_PER_S:-2000}," \
      "tokens_per_s: ${ACCOUNT_TOKENS_PER_S:-100000}," \
      "streams: ${ACCOUNT_STREAMS:-4000}, weight: $weight}"
  done
}

# bench_configuration VERSION: prints the configuration, with the addresses of
# the endpoints that run already and placeholder ports for the others.
bench_configuration ()
{
  cat <<END
version: $1
accounts:
$(bench_account_lines)
models:
  - {name: $BENCH_MODEL, layers: $BENCH_LAYERS, layer_memory_mib: 512, activation_bytes: 16, demand_weight: 1}
data_centres:
  - {name: dc-1, region: north}
  - {name: dc-2, region: north}
  - {name: dc-3, region: south}
links:
  - {from: dc-1, to: dc-2, delay_us: 50, mbit_per_s: 10000}
  - {from: dc-1, to: dc-3, delay_us: 500, mbit_per_s: 100}
  - {from: dc-2, to: dc-3, delay_us: 500, mbit_per_s: 100}
hosts:
$(bench_host_lines)
services:
  - {name: bookings, idempotent: [{method: GET, path_prefix: /}]}
rules: {profile: ${PROFILE:-throughput}, spare_hosts: 1, key_lifetime_s: 86400, queue_length: 512, default_deadline_ms: 30000, max_tokens: 1024, prompt_bytes: 65536}
END
}

# bench_ranges NAME: prints the planned ranges of an engine, one on each line.
bench_ranges ()
{
  awk -v name="$1" '$1 == "host" && $2 == name {
    for (i = 5; i <= NF; i++) { sub (/.*:/, "", $i); print $i } }' \
    "$FLEET/plan.txt"
}

# load_remaining_ranges NAME: orders an engine to load its planned ranges after
# the first, which it loads at its start.
load_remaining_ranges ()
{
  local range
  bench_ranges "$1" | tail -n +2 | while read -r range; do
    curl -sf "http://127.0.0.1:$(port_of "$1")/v1/orders" -d "{\"order\": \"load\",
      \"model\": \"$BENCH_MODEL\", \"first\": ${range%-*}, \"end\": ${range#*-},
      \"fence\": 0}" > /dev/null
  done
}

# bench_start_endpoints: starts the engines with the ranges of the planned
# placement, and the services.
bench_start_endpoints ()
{
  local index name kind rate memory range
  bench_configuration 1 > "$FLEET/plan.yaml"
  "$BIN/kumquatthread" plan "$FLEET/plan.yaml" > "$FLEET/plan.txt"
  for index in $(seq 0 $((BENCH_ENGINES - 1))); do
    name=$(bench_engine "$index")
    read -r kind rate memory <<< "$(bench_kind "$index")"
    range=$(bench_ranges "$name" | head -1)
    start_engine "$name" $BENCH_MODEL $BENCH_LAYERS "${range:-none}" "$rate" \
      checked
  done
  for index in $(seq 1 $BENCH_SERVICES); do
    start_service "booking-$index"
  done
  for index in $(seq 0 $((BENCH_ENGINES - 1))); do
    wait_for 10 has_port "$(bench_engine "$index")"
    load_remaining_ranges "$(bench_engine "$index")"
  done
  for index in $(seq 1 $BENCH_SERVICES); do
    wait_for 10 has_port "booking-$index"
  done
}

bench_start_daemons ()
{
  local base=$((24000 + RANDOM % 4000)) index=0 name
  for name in "${BENCH_DAEMONS[@]}"; do
    write_settings "$name" "$(bench_data_centre $index)" $((base + index)) \
      "127.0.0.1:$base, 127.0.0.1:$((base + 1))"
    start_daemon "$name"
    index=$((index + 1))
  done
}

bench_draft_works ()
{
  curl -sf --max-time 2 "http://$(address_of "$1" caller)/v1/completions" \
    -H "Authorization: Bearer $(bench_token 1)" \
    -d "{\"model\": \"$BENCH_MODEL\", \"prompt\": \"hello\", \"max_tokens\": 1}"
}

# bench_start: starts the whole fleet and waits until every daemon answers a
# draft.
bench_start ()
{
  local name
  mkdir -p "$FLEET"
  write_secrets
  start_platform
  bench_start_endpoints
  TRAFFIC_THREADS=${TRAFFIC_THREADS:-160} bench_start_daemons
  bench_configuration 1 > "$FLEET/configuration.yaml"
  wait_for 10 operator entry-1 config publish "$FLEET/configuration.yaml"
  for name in "${BENCH_DAEMONS[@]}"; do
    wait_for 20 is_ready "$name"
    wait_for 20 bench_draft_works "$name"
  done
}

# bench_bound: prints the tokens a second that the placement allows.
bench_bound ()
{
  awk '$1 == "bound" { print $2 }' "$FLEET/plan.txt"
}

# bench_callers: prints the daemons' addresses as options of the load tool.
bench_callers ()
{
  local name
  for name in "${BENCH_DAEMONS[@]}"; do
    printf -- '--caller http://%s ' "$(address_of "$name" caller)"
  done
}
