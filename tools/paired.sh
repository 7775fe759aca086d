#!/usr/bin/env bash
# Plays the same varied days with two checkouts and compares what callers got, day by day.
#
#   FLEETBENCH=PROGRAM tools/paired.sh OLD NEW SITE SEED...
#
# OLD and NEW are checkouts of this repository, SITE is a site file, and each SEED is one varied day: trouble-1 for a
# seed that 5 divides, then scale-1, trouble-2, scale-2 and trouble-3.  Prints the worth of each day under both, and for
# the figures of a day the means, the mean difference and its standard error.  A difference within two standard errors
# is no gain.  The last lines say what was under way while worth was lost.
#
# Environment: FLEETBENCH, the bench program; JOBS, days at once (3); RUN_OPTIONS, more options of its verb `run`;
# REPORTS, the directory of the reports (a temporary one).  A report that is there for the same sources, site, seed and
# options is used again.  Processor time depends on what else the machine does: with RUN_OPTIONS=--no-cpu the two sides
# need not be played at the same time.
set -eu
[ $# -ge 4 ] || {
  sed -n '4s/^# *//p' "$0" >&2
  exit 2
}
old=$1 new=$2 site=$3
shift 3
seeds=$*
: "${FLEETBENCH:?names the bench program}"
reports=${REPORTS:-$(mktemp -d)}
export RUN_OPTIONS=${RUN_OPTIONS:-}
mkdir -p "$reports"
reports=$(cd "$reports" && pwd)
days=(trouble-1 scale-1 trouble-2 scale-2 trouble-3)

# source_key CHECKOUT: a hash of all that a host is built from.
source_key () {
  (cd "$1" && find lib daemon platform deploy Makefile -type f | sort | xargs sha1sum | sha1sum | cut -c1-12)
}

# report_of KEY SEED
report_of () { echo "$reports/$(basename "$site" .toml)${RUN_OPTIONS// /}.$1.$2.json"; }

# play CHECKOUT KEY SEED
play () {
  local out
  out=$(report_of "$2" "$3")
  [ -s "$out" ] && return
  # shellcheck disable=SC2086
  (cd "$1" && "$FLEETBENCH" run "$site" "${days[$3 % 5]}" --vary --seed "$3" $RUN_OPTIONS --report "$out.part" \
    --why "paired $2" >"$out.log" 2>&1 && mv "$out.part" "$out") || echo "not played: $1 seed $3, see $out.log" >&2
}

old_key=$(source_key "$old")
new_key=$(source_key "$new")
for checkout in "$old" "$new"; do
  (cd "$checkout" && "$FLEETBENCH" build >/dev/null)
done
export -f play report_of
export FLEETBENCH reports site
# The array cannot be exported.
days_text="${days[*]}"
export days_text
for seed in $seeds; do
  printf '%s %s %s\n' "$old" "$old_key" "$seed"
  [ "$old_key" = "$new_key" ] || printf '%s %s %s\n' "$new" "$new_key" "$seed"
done | xargs -P "${JOBS:-3}" -L 1 bash -c 'read -r -a days <<<"$days_text"; play "$@"' --

# The figures of one report, a line each: name and value.  What is lost in a window goes to the first of the kinds of
# disruption that was under way in it or ended up to so many seconds before; of the loss of all hosts only the first
# four seconds count.
# shellcheck disable=SC2016
figures='
def kinds: [["all hosts gone", "^closing|^herd_kill", 4], ["data centre cut", "^zone_cut", 2], ["burst", "^burst", 2],
            ["hosts gone, cut or slow", "^node_|^roll|^replace|^after_ack|^core_cut|^platform", 2],
            ["endpoints gone or slow", "^srv_|^scale_in|^applied|^answer", 2], ["none of these", "", 0]];
def under_way ($r; $from; $kind):
  $kind[1] == "" or any ($r.events[]; (.kind | test ($kind[1])) and .at_s < $from + 2 and $from < .to_s + $kind[2]
                                      and ($kind[2] != 4 or $from < .at_s + 4));
def cause ($r; $from): first (kinds[] | select (under_way ($r; $from; .)) | .[0]);
. as $r
| [ .windows[] | {cause: cause ($r; .name | tonumber), lost: ((1 - .worth) * .n / $r.all.n)} ] as $lost
| ["worth", .G], (.parts[] | [.[0], .[2]]), ["served", .served], ["refused", .refused], ["failed", .failed],
  ["late", .all.late / .all.n], ["prices", ([.prices[][2]] | add)], ["rules broken", (.breaks | length)],
  (kinds[] | .[0] as $name | ["lost: \($name)", ([$lost[] | select (.cause == $name) | .lost] | add // 0)])
| @tsv'

for seed in $seeds; do
  one=$(report_of "$old_key" "$seed")
  two=$(report_of "$new_key" "$seed")
  if [ -s "$one" ] && [ -s "$two" ]; then
    jq -r "$figures" "$one" | sed "s/^/$seed\told\t/"
    jq -r "$figures" "$two" | sed "s/^/$seed\tnew\t/"
  fi
done | awk -F '\t' '
  !($3 in known) { known[$3] = 1; order[++names] = $3 }
  $2 == "old" { before[$1, $3] = $4; if ($3 == "worth") days[++n] = $1 }
  $2 == "new" { after[$1, $3] = $4 }
  END {
    for (d = 1; d <= n; d++)
      printf "%8d  %.4f  %.4f  %+.4f\n", days[d], before[days[d], "worth"], after[days[d], "worth"],
             after[days[d], "worth"] - before[days[d], "worth"]
    printf "\n%-32s %9s %9s %9s %9s   %d days\n", "", "old", "new", "change", "std error", n
    for (k = 1; k <= names; k++) {
      name = order[k]; a = b = s = q = 0
      for (d = 1; d <= n; d++) {
        change = after[days[d], name] - before[days[d], name]
        a += before[days[d], name]; b += after[days[d], name]; s += change; q += change * change
      }
      squares = q - s * s / n
      error = n > 1 && squares > 0 ? sqrt (squares / (n - 1) / n) : 0
      mark = error > 0 && s * s / n / n > 4 * error * error ? "  *" : ""
      printf "%-32s %9.4f %9.4f %+9.4f %9.4f%s\n", name, a / n, b / n, s / n, error, mark
    }
  }'
