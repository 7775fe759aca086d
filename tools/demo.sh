#!/usr/bin/env bash
# One data centre on the loopback interface: a platform and four endpoints (stand-ins), two hosts.
# Publishes both lists, submits one job of 20 tasks, submits it again to the other host, and stops everything.
#
#   tools/demo.sh             programs come from build/, or from $JAYTRAIL_BUILD
set -eu
cd "$(dirname "$0")/.."
bin=${JAYTRAIL_BUILD:-build}
dir=$(mktemp -d)
pids=()

finish () {
  local pid
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap finish EXIT

fail () {
  echo "demo: $1" >&2
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

# host ID CALLER ADMIN PEER: starts jaytraild and sets $pid.
host () {
  cat >"$dir/$1.json" <<SETTINGS
{
  "host_id": "$1", "data_centre": "tw-north-a",
  "caller_listen": "127.0.0.1:$2", "admin_listen": "127.0.0.1:$3", "peer_listen": "127.0.0.1:$4",
  "platform": ["$platform"],
  "data_centres": {"tw-north-a": ["127.0.0.1:$peer_1", "127.0.0.1:$peer_2"]}
}
SETTINGS
  "$bin/jaytraild" --settings "$dir/$1.json" >"$dir/$1.out" 2>"$dir/$1.log" &
  pid=$!
  pids+=("$pid")
}

# submit PORT: sends the job and prints the answer.
submit () {
  curl -sS --max-time 20 -H 'Idempotency-Key: demo-job-1' --data-binary "@$dir/job.json" \
    "http://127.0.0.1:$1/v1/jobs"
}

# starts: number of task starts over all endpoints.
starts () {
  local total=0 count endpoint
  for endpoint in "${endpoints[@]}"; do
    count=$(curl -sS "http://$endpoint/stats" | sed 's/.*"count": *\([0-9]*\).*/\1/')
    total=$((total + count))
  done
  echo "$total"
}

caller_1=$(free_port) admin_1=$(free_port) peer_1=$(free_port)
caller_2=$(free_port) admin_2=$(free_port) peer_2=$(free_port)

endpoints=()
list=
for n in 1 2 3 4; do
  standin "endpoint-$n" fake_endpoint --slots 8
  endpoints+=("$address")
  list="$list${list:+,}{\"id\":\"e$n\",\"role\":\"endpoint\",\"data_centre\":\"tw-north-a\",
    \"address\":\"$address\",\"slots\":8,\"connections\":60,\"cores\":32,\"memory_mb\":131072,
    \"rack\":\"r1\",\"state\":\"live\"}"
done
for n in 1 2; do
  peer=peer_$n
  list="$list,{\"id\":\"a$n\",\"role\":\"entry\",\"data_centre\":\"tw-north-a\",
    \"address\":\"127.0.0.1:${!peer}\",\"slots\":0,\"connections\":0,\"cores\":8,\"memory_mb\":16384,
    \"rack\":\"r1\",\"state\":\"live\"}"
done
echo "{\"hosts\":[$list]}" >"$dir/hosts.json"
standin platform fake_platform --hosts "$dir/hosts.json"
platform=$address
echo "started: a platform at $platform, endpoints at ${endpoints[*]}"

host a1 "$caller_1" "$admin_1" "$peer_1"
host_1=$pid
host a2 "$caller_2" "$admin_2" "$peer_2"
host_2=$pid

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
    "gold": {"running_max": 64, "starts_per_s_max": 500, "weight": 2},
    "silver": {"running_max": 16, "starts_per_s_max": 100, "weight": 1}
  }
}
LIMITS
echo "publish both lists:"
"$bin/jaytrail" publish --platform "$platform" --plans "$dir/plans.json" --limits "$dir/limits.json" \
  || fail "publishing failed"
for port in "$caller_1" "$caller_2"; do
  wait_for 20 "readiness at port $port" curl -sSf "http://127.0.0.1:$port/readyz"
done

now_ms=$(date +%s%3N)
{
  printf '{"customer":"lantern","kind":"check","issued_at_ms":%s,"deadline_at_ms":%s,"tasks":[' \
    "$now_ms" $((now_ms + 15000))
  for n in $(seq 0 19); do
    [ "$n" -eq 0 ] || printf ','
    printf '{"id":"%s","body":"form field %s"}' "$n" "$n"
  done
  printf ']}'
} >"$dir/job.json"

echo "a job of 20 tasks, to host a1:"
submit "$caller_1" >"$dir/answer-1" || fail "no answer from a1"
cat "$dir/answer-1"
echo
grep -q '"state": *"complete"' "$dir/answer-1" || fail "the job is not complete"
first=$(starts)
echo "the same submission again, to host a2:"
submit "$caller_2" >"$dir/answer-2" || fail "no answer from a2"
cmp "$dir/answer-1" "$dir/answer-2" || fail "the answers differ"
second=$(starts)
echo "the same answer; task starts: $first, then $second"
[ "$first" -eq 20 ] && [ "$second" -eq 20 ] || fail "each task should have started once"

echo "status of a1:"
"$bin/jaytrail" status --admin "127.0.0.1:$admin_1" || fail "no status"

echo "stop:"
for pid in "$host_1" "$host_2"; do
  kill -TERM "$pid"
  code=0
  wait "$pid" || code=$?
  echo "host with process id $pid: exit status $code"
  [ "$code" -eq 0 ] || fail "a host did not stop cleanly"
done
echo "demo: ok"
