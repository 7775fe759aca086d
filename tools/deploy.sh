# deploy.sh -- sourced by scripts that run a small deployment on the loopback interface
#
# Sets $bin and $dir (a temporary folder), and ends all processes that it
# started, by their ids, when the script exits.  Programs come from build/, or
# from $JAYTRAIL_BUILD.
# shellcheck shell=bash

name=$(basename "$0" .sh)
bin=${JAYTRAIL_BUILD:-build}
dir=$(mktemp -d)
pids=()

finish () {
  local pid
  # Only those that still run: the id of a process that has ended may be another's by now.
  for pid in $(jobs -pr); do
    kill "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap finish EXIT

fail () {
  echo "$name: $1" >&2
  tail -n 20 "$dir"/*.log >&2 || true
  exit 1
}

# wait_for SECONDS WHAT COMMAND...: runs COMMAND until it succeeds.
wait_for () {
  local end=$((SECONDS + $1)) what=$2
  shift 2
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || fail "$what did not happen"
    sleep 0.1
  done
}

# A port below the range of outgoing connections on which nothing listens.
free_port () {
  local port
  while :; do
    port=$((20000 + RANDOM % 10000))
    grep -qx "$port" "$dir/ports" 2>/dev/null && continue
    (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && continue
    echo "$port" >>"$dir/ports"
    echo "$port"
    return
  done
}

# standin NAME PROGRAM OPTIONS...: starts a stand-in and sets $address.
standin () {
  local name=$1 program=$2
  shift 2
  "$bin/$program" --listen 127.0.0.1:0 "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
  pids+=($!)
  wait_for 10 "the start of $name" grep -q listening "$dir/$name.out"
  address=$(sed -n 's/^listening //p' "$dir/$name.out")
}

# host ID CALLER ADMIN PEER: starts jaytraild and sets $pid.  $platform is its
# address, $peers the quoted addresses of all peer listeners.
host () {
  cat >"$dir/$1.json" <<SETTINGS
{
  "host_id": "$1", "data_centre": "tw-north-a",
  "caller_listen": "127.0.0.1:$2", "admin_listen": "127.0.0.1:$3", "peer_listen": "127.0.0.1:$4",
  "platform": ["$platform"],
  "data_centres": {"tw-north-a": [$peers]}
}
SETTINGS
  "$bin/jaytraild" --settings "$dir/$1.json" >"$dir/$1.out" 2>"$dir/$1.log" &
  pid=$!
  pids+=("$pid")
}

# add_endpoint ID ADDRESS SLOTS, add_entry ID PEER: append a row to $rows, the list of hosts.
rows=
add_row () {
  rows="$rows${rows:+,}{\"id\":\"$1\",\"role\":\"$2\",\"data_centre\":\"tw-north-a\",
    \"address\":\"$3\",\"slots\":$4,\"connections\":60,\"cores\":32,\"memory_mb\":131072,
    \"rack\":\"r1\",\"state\":\"live\"}"
}
add_endpoint () { add_row "$1" endpoint "$2" "$3"; }
add_entry () { add_row "$1" entry "$2" 0; }

# start_platform: with the list of hosts; sets $platform.
start_platform () {
  echo "{\"hosts\":[$rows]}" >"$dir/hosts.json"
  standin platform fake_platform --hosts "$dir/hosts.json"
  platform=$address
}

# publish_lists: two plans, the first one with room for everything.
publish_lists () {
  cat >"$dir/plans.json" <<'PLANS'
{
  // Which plan each customer holds.
  "plans": {"lantern": "gold", "compost": "silver"}
}
PLANS
  cat >"$dir/limits.json" <<'LIMITS'
{
  // What each plan may use, over all hosts and data centres.
  "limits": {
    "gold": {"running_max": 64, "starts_per_s_max": 2000, "weight": 2},
    "silver": {"running_max": 16, "starts_per_s_max": 100, "weight": 1}
  }
}
LIMITS
  "$bin/jaytrail" publish --platform "$platform" --plans "$dir/plans.json" --limits "$dir/limits.json" \
    || fail "publishing failed"
}

# wait_ready PORT...: until each answers /readyz with 200.
wait_ready () {
  local port
  for port in "$@"; do
    wait_for 20 "readiness at port $port" curl -sSf "http://127.0.0.1:$port/readyz"
  done
}
