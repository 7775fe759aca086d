#!/usr/bin/env bash
# Holds the causes that `jaytrail explain` names against the account of a day that was played with the hosts' logs.
#
#   tools/causes.sh RUN...     RUN: the output of the bench for one day, with the logs of all hosts
#
# For every job that was not completed: is a cause named, and was a disruption of the day under way within the three
# seconds before the answer?  And do the hosts' answers agree with what the bench's callers got?
set -u
cd "$(dirname "$0")/.."
near_s=3

# Time and id of each job that was not completed.
missed () {
  grep -a '"event":"job_missed"' "$1" | grep -av '"outcome":"complete"' |
    sed 's/^ *\([0-9.]*\) .*"job":"\([^"]*\)".*"outcome":"\([^"]*\)".*/\1 \2 \3/' | sort -u -k2,2
}

# From, to and name of each disruption.
events () {
  sed -n '/^what happened/,/^$/p' "$1" |
    sed -n 's/^ *\([0-9.]*\) s to *\([0-9.]*\) s  *\([a-z_]*\).*/\1 \2 \3/p'
}

# How many answers of a kind the bench's callers got.
answers () { grep -a -m1 '^how tries ended' "$1" | grep -o " $2: [0-9]*" | grep -o '[0-9]*$' || echo 0; }

for run in "$@"; do
  echo "== $run"
  events "$run" >/tmp/causes.events.$$
  missed "$run" | while read -r at job outcome; do
    cause=$(build/jaytrail explain "$job" "$run" | sed -n 's/^Cause: \([^.]*\.\).*/\1/p')
    around=$(awk -v at="$at" -v near="$near_s" '$1 <= at && $2 >= at - near {print $3}' /tmp/causes.events.$$ |
      sort -u | paste -sd,)
    printf '%s\t%s\t%s\n' "$outcome" "${cause:-no cause}" "${around:-nothing}"
  done >/tmp/causes.rows.$$
  cut -f2 /tmp/causes.rows.$$ | sed 's/edge-[a-z0-9-]*/HOST/g; s/i-[0-9a-f]*/ENDPOINT/g; s/[0-9][0-9]* ms/N ms/g' |
    sort | uniq -c | sort -rn | head -12
  all=$(wc -l </tmp/causes.rows.$$)
  named=$(grep -vc 'no cause' /tmp/causes.rows.$$)
  quiet=$(cut -f3 /tmp/causes.rows.$$ | grep -cx nothing)
  echo "$named of $all jobs with a cause; $quiet of them with no disruption near"
  echo "given up: $(grep -c '^given_up' /tmp/causes.rows.$$) (callers got $(answers "$run" 504) of 504)," \
    "refused: $(grep -c '^refused' /tmp/causes.rows.$$), by hosts without a configuration:" \
    "$(grep -ac '"event":"job_unready"' "$run") (callers got $(answers "$run" 503) of 503)"
  rm -f /tmp/causes.events.$$ /tmp/causes.rows.$$
done
