#!/usr/bin/env bash
# What a host adds to the response time: single tasks of 50 ms at half load through jaytraild, against the
# same load sent straight to the endpoints, in turns in one run.  Exit status 0 only if the medians differ by
# less than a millisecond and no request failed.
#
#   bench/overhead.sh [SECONDS [SEED]]      $OVERHEAD_OUT, if set, is the folder for the results
set -eu
cd "$(dirname "$0")/.."
. tools/deploy.sh

seconds=${1:-8}
seed=${2:-1}
slots=8 run_ms=50 rounds=2 bound_ms=1
# Half of 4 x 8 slots, each free every 50 ms.
rate=$((4 * slots * 1000 / run_ms / 2))
out=${OVERHEAD_OUT:-$dir}
mkdir -p "$out"

peers=
for n in 1 2 3; do
  callers[n]=$(free_port) admins[n]=$(free_port) peer_ports[n]=$(free_port)
  peers="$peers${peers:+,}\"127.0.0.1:${peer_ports[n]}\""
done
direct_targets=() host_targets=()
for n in 1 2 3 4; do
  standin "endpoint-$n" fake_endpoint --slots "$slots"
  add_endpoint "e$n" "$address" "$slots"
  direct_targets+=(--target "$address")
done
for n in 1 2 3; do
  add_entry "a$n" "127.0.0.1:${peer_ports[n]}"
  host_targets+=(--target "127.0.0.1:${callers[n]}")
done
start_platform
publish_lists
for n in 1 2 3; do host "a$n" "${callers[n]}" "${admins[n]}" "${peer_ports[n]}"; done
wait_ready "${callers[@]}"

# load NAME SEED OPTIONS...: one run; its report goes to NAME.json and NAME.csv.
load () {
  local name=$1 seed=$2
  shift 2
  "$bin/jaytrail" load --rate "$rate" --seconds "$seconds" --seed "$seed" --run-ms "$run_ms" \
    --threads 96 --csv "$out/$name.csv" --json "$@" >"$out/$name.json" || fail "requests failed in $name"
}

# counter NAME: its sum over the hosts and labels.
counter () {
  local n
  for n in 1 2 3; do curl -sS "http://127.0.0.1:${admins[n]}/metrics"; done \
    | awk -v name="$1" '{ split ($1, part, "{"); if (part[1] == name) sum += $2 } END { print sum + 0 }'
}

# latency FILES...: sorted response times in microseconds.
latencies () { awk -F, 'FNR > 1 && $9 == "complete" { print $7 }' "$@" | sort -n; }
# at SHARE: that quantile of the sorted lines, in ms.
at () { awk -v share="$1" '{ v[NR] = $1 } END { i = int (share * NR) + 1; if (i > NR) i = NR; printf "%.3f", v[i] / 1000 }'; }

load warmup "$seed" "${host_targets[@]}"
frames_before=$(counter jaytrail_peer_frames_total)
tasks_before=$(counter jaytrail_tasks_started_total)
for round in $(seq "$rounds"); do
  load "direct-$round" $((seed + round)) --direct "${direct_targets[@]}"
  load "hosts-$round" $((seed + round)) "${host_targets[@]}"
done
frames=$(($(counter jaytrail_peer_frames_total) - frames_before))
tasks=$(($(counter jaytrail_tasks_started_total) - tasks_before))

echo "seed $seed, $rounds rounds of $seconds s, $rate tasks/s of $run_ms ms, 3 hosts, 4 endpoints of $slots slots"
printf '%-10s %10s %10s %10s\n' "ms" median p99 worst
for kind in direct hosts; do
  latencies "$out"/$kind-[0-9].csv >"$out/$kind.us"
  printf '%-10s %10s %10s %10s\n' "$kind" "$(at 0.5 <"$out/$kind.us")" "$(at 0.99 <"$out/$kind.us")" \
    "$(at 1 <"$out/$kind.us")"
done
direct=$(at 0.5 <"$out/direct.us") hosts=$(at 0.5 <"$out/hosts.us")
awk -v a="$direct" -v b="$hosts" -v frames="$frames" -v tasks="$tasks" 'BEGIN {
  printf "ratio of the medians %.4f, difference %.3f ms\n", b / a, b - a
  printf "messages between hosts per task %.2f (%d frames, %d tasks; in and out are both counted)\n",
         tasks ? frames / tasks : 0, frames, tasks }'
if [ -n "${OVERHEAD_OUT:-}" ] && command -v gnuplot >/dev/null; then
  gnuplot -e "set terminal svg; set output '$out/overhead.svg'; set xlabel 'ms'; set ylabel 'share';
    set key bottom right; set xrange [45:100];
    plot '$out/direct.us' using (\$1 / 1000):(1.0 / $(wc -l <"$out/direct.us")) smooth cumulative title 'direct',
         '$out/hosts.us' using (\$1 / 1000):(1.0 / $(wc -l <"$out/hosts.us")) smooth cumulative title 'through a host'"
fi
awk -v a="$direct" -v b="$hosts" -v bound="$bound_ms" 'BEGIN { exit !(b - a < bound) }' \
  || fail "the median differs by $bound_ms ms or more"
