#!/usr/bin/env bash
# One data centre on the loopback interface: a platform and four endpoints (stand-ins), two hosts.
# Publishes both lists, submits one job of 20 tasks, submits it again to the other host, and stops everything.
set -eu
cd "$(dirname "$0")/.."
. tools/deploy.sh

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

peers="\"127.0.0.1:$peer_1\", \"127.0.0.1:$peer_2\""

endpoints=()
for n in 1 2 3 4; do
  standin "endpoint-$n" fake_endpoint --slots 8
  endpoints+=("$address")
  add_endpoint "e$n" "$address" 8
done
add_entry a1 "127.0.0.1:$peer_1"
add_entry a2 "127.0.0.1:$peer_2"
start_platform
echo "started: a platform at $platform, endpoints at ${endpoints[*]}"

host a1 "$caller_1" "$admin_1" "$peer_1"
host_1=$pid
host a2 "$caller_2" "$admin_2" "$peer_2"
host_2=$pid

echo "publish both lists:"
publish_lists
wait_ready "$caller_1" "$caller_2"

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
