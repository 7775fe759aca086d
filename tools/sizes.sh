#!/usr/bin/env bash
# How the largest jobs fare over many days that were played on the users' bench.
#
#   tools/sizes.sh RUN...     RUN: the output of the bench for one day, with the hosts' logs or without
#
# Prints how the worst class was served over all days (the largest tenth of a queue and the fifth below it are classes of
# their own), the days that were short, and for days with logs the jobs that were missed by size and cause, and the starts that were
# expected to miss their deadline.
set -u

grep -aho 'worst class [0-9.]* (' "$@" | grep -o '[0-9.]*' | sort -n | awk '
  {v[NR] = $1; sum += $1}
  END {
    if (NR == 0) exit
    printf "worst class on %d days: lowest %.3f, tenth %.3f, median %.3f, mean %.3f\n",
      NR, v[1], v[int(NR * 0.1) + 1], v[int(NR * 0.5) + 1], sum / NR
  }'
grep -aH '^short of the gate' "$@"
grep -ah '"event":"job_missed"' "$@" | grep -av '"outcome":"complete"' |
  sed 's/.*"outcome":"\([^"]*\)".*"why":"\([^"]*\)".*"size":"\([^"]*\)".*/\3: \1, \2/' | sort | uniq -c | sort -rn
doubtful=$(cat "$@" | grep -ac '"event":"task_doubtful"')
[ "$doubtful" -eq 0 ] || echo "$doubtful starts that were expected to miss their deadline"
exit 0
