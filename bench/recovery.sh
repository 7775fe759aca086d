#!/usr/bin/env bash
# How long fresh keys find no service after hosts of a data centre are lost, with the platform up and down.
# A job of one 5 ms task goes to each surviving host every 50 ms; the time from the loss to the first of the
# jobs that all complete from then on is printed, and the longest answer of a complete job.
#
#   bench/recovery.sh
set -eu
cd "$(dirname "$0")/.."
. tools/deploy.sh

hosts=4 watch_s=20

# probe N UNTIL_MS: jobs to host N until then; prints `ms since the loss, complete 1 or 0, ms taken` a job.
probe () {
  local n=$1 now body took answer
  while now=$(date +%s%3N) && [ "$now" -lt "$2" ]; do
    body="{\"customer\":\"lantern\",\"kind\":\"check\",\"issued_at_ms\":$now,\"deadline_at_ms\":$((now + 3000)),"
    body="$body\"tasks\":[{\"id\":\"0\",\"body\":\"{\\\"ms\\\":5}\"}]}"
    answer=$(curl -sS --max-time 5 -H "Idempotency-Key: r-$n-$now-$RANDOM" -d "$body" \
      "http://127.0.0.1:${callers[n]}/v1/jobs" 2>/dev/null || true)
    took=$(($(date +%s%3N) - now))
    case $answer in
      '{"state":"complete"'*) echo "$((now - lost_at)) 1 $took" ;;
      *) echo "$((now - lost_at)) 0 $took" ;;
    esac
    sleep 0.05
  done
}

# case_of LOST OUTAGE: starts everything, loses hosts, prints one row.
case_of () {
  local lost=$1 outage=$2 n survivors='' probes=()
  rows='' peers='' pids=()
  rm -f "$dir"/probe-*
  for n in $(seq "$hosts"); do
    callers[n]=$(free_port) admins[n]=$(free_port) peer_ports[n]=$(free_port)
    peers="$peers${peers:+,}\"127.0.0.1:${peer_ports[n]}\""
    add_entry "a$n" "127.0.0.1:${peer_ports[n]}"
  done
  for n in 1 2; do
    standin "endpoint-$n" fake_endpoint --slots 8
    add_endpoint "e$n" "$address" 8
  done
  start_platform
  publish_lists >/dev/null
  for n in $(seq "$hosts"); do host "a$n" "${callers[n]}" "${admins[n]}" "${peer_ports[n]}"; host_pids[n]=$pid; done
  wait_ready "${callers[@]}"
  sleep 3
  [ "$outage" = up ] || curl -sS -o /dev/null -d '{"outage":true}' "http://$platform/fault"
  lost_at=$(date +%s%3N)
  for n in $(seq "$lost"); do kill -9 "${host_pids[n]}"; done
  for n in $(seq $((lost + 1)) "$hosts"); do
    probe "$n" $((lost_at + watch_s * 1000)) >"$dir/probe-$n" &
    probes+=($!)
  done
  wait "${probes[@]}"
  cat "$dir"/probe-* | awk -v lost="$lost" -v outage="$outage" -v watched="$watch_s" '
    { jobs++ }
    $2 == 0 { failed++; if ($1 + $3 > last) last = $1 + $3 }
    $2 == 1 && $3 > worst { worst = $3 }
    END { printf "%5d %9s %6d %10d %16.2f %18.2f\n", lost, outage, jobs, failed, last / 1000, worst / 1000 }'
  for pid in $(jobs -pr); do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}

echo "$hosts hosts in one data centre, watched for $watch_s s"
echo " lost  platform   jobs not served  last failure, s  longest answer, s"
for lost in 1 2 3; do
  for outage in up down; do case_of "$lost" "$outage"; done
done
