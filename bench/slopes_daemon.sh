#!/usr/bin/env bash
# What whole jaytraild processes cost on one data centre: idle against the number of hosts, and under load
# against the rate.  Processor time and memory are the kernel's figures for each process.
#
#   bench/slopes_daemon.sh                    all sizes, with linear fits
#   bench/slopes_daemon.sh HOSTS RATE TASKS   one size: RATE jobs a second of TASKS tasks each, 0 for idle
set -eu
cd "$(dirname "$0")/.."

measure_s=8

# fit WHAT BY: reads lines of x and y.
fit () {
  awk -v what="$1" -v by="$2" '{ n++; sx += $1; sy += $2; sxx += $1 * $1; sxy += $1 * $2; syy += $2 * $2 }
    END { dx = n * sxx - sx * sx; dy = n * syy - sy * sy; b = (n * sxy - sx * sy) / dx
          printf "  fit: %s = %.3f + %.4f * %s (r2 %.3f)\n", what, (sy - b * sx) / n, b, by, (dy > 0 ? b * b * dx / dy : 1) }'
}

if [ $# -eq 0 ]; then
  rows=$(mktemp)
  trap 'rm -f "$rows"' EXIT
  echo "whole hosts, idle, per host and second, against hosts:"
  for hosts in 2 4 8; do "$0" "$hosts" 0 1 | tee -a "$rows"; done
  for column in "4 ms_of_a_core" "6 resident_MB" "8 frames" "10 bytes"; do
    awk -v c="${column%% *}" '{ print $2, $c }' "$rows" | fit "${column#* }" hosts
  done
  echo "3 hosts under load, per host and second, against tasks a second of the deployment:"
  : >"$rows"
  for rate in 25 50 100; do "$0" 3 "$rate" 4 | tee -a "$rows"; done
  for column in "4 ms_of_a_core" "6 resident_MB" "8 frames" "10 bytes"; do
    awk -v c="${column%% *}" '{ print $12, $c }' "$rows" | fit "${column#* }" tasks
  done
  exit 0
fi

. tools/deploy.sh
hosts=$1 rate=$2 tasks=$3
peers=
for n in $(seq "$hosts"); do
  callers[n]=$(free_port) admins[n]=$(free_port) peer_ports[n]=$(free_port)
  peers="$peers${peers:+,}\"127.0.0.1:${peer_ports[n]}\""
  add_entry "a$n" "127.0.0.1:${peer_ports[n]}"
done
for n in 1 2 3 4; do
  standin "endpoint-$n" fake_endpoint --slots 16
  add_endpoint "e$n" "$address" 16
done
start_platform
publish_lists >/dev/null
targets=() host_pids=()
for n in $(seq "$hosts"); do
  host "a$n" "${callers[n]}" "${admins[n]}" "${peer_ports[n]}"
  host_pids+=("$pid")
  targets+=(--target "127.0.0.1:${callers[n]}")
done
wait_ready "${callers[@]}"
sleep 8

# ticks: processor time of all hosts, in hundredths of a second.
ticks () {
  local sum=0 id
  for id in "${host_pids[@]}"; do sum=$((sum + $(awk '{ print $14 + $15 }' "/proc/$id/stat"))); done
  echo "$sum"
}
# resident: mean of the hosts, in MB.
resident () {
  local id
  for id in "${host_pids[@]}"; do awk '/VmRSS/ { print $2 }' "/proc/$id/status"; done \
    | awk '{ s += $1 } END { printf "%.1f", s / NR / 1024 }'
}
# counter NAME: its sum over the hosts and labels.
counter () {
  local n
  for n in $(seq "$hosts"); do curl -sS "http://127.0.0.1:${admins[n]}/metrics"; done \
    | awk -v name="$1" '{ split ($1, part, "{"); if (part[1] == name) sum += $2 } END { print sum + 0 }'
}

ticks_before=$(ticks) frames_before=$(counter jaytrail_peer_frames_total)
bytes_before=$(counter jaytrail_peer_bytes_total) started_before=$(counter jaytrail_tasks_started_total)
if [ "$rate" -gt 0 ]; then
  "$bin/jaytrail" load --rate "$rate" --seconds "$measure_s" --tasks "$tasks" --run-ms 50 --seed 1 --json \
    "${targets[@]}" >"$dir/load.json" || fail "requests failed"
else
  sleep "$measure_s"
fi
awk -v hosts="$hosts" -v s="$measure_s" -v ticks=$(($(ticks) - ticks_before)) -v mb="$(resident)" \
  -v frames=$(($(counter jaytrail_peer_frames_total) - frames_before)) \
  -v bytes=$(($(counter jaytrail_peer_bytes_total) - bytes_before)) \
  -v started=$(($(counter jaytrail_tasks_started_total) - started_before)) 'BEGIN {
    printf "hosts %d cpu_ms %.1f resident_MB %.1f frames %.1f bytes %.0f tasks %.0f\n", hosts,
           ticks * 10 / hosts / s, mb, frames / hosts / s, bytes / hosts / s, started / s }'
