#!/usr/bin/env bash
# For every job in the hosts' logs that was not completed: the cause that `jaytrail explain` names, counted.
#
#   tools/explained.sh LOG...
set -u
cd "$(dirname "$0")/.."
ids=$(cat "$@" | grep -a '"event":"job_missed"' | grep -av '"outcome":"complete"' |
  sed 's/.*"job":"\([^"]*\)".*/\1/' | sort -u)
[ -n "$ids" ] || { echo "no job was left incomplete"; exit 0; }
for id in $ids; do
  build/jaytrail explain "$id" "$@" | sed -n 's/^Cause: \([^.]*\.\).*/\1/p'
done | sort | uniq -c | sort -rn
total=$(wc -w <<<"$ids")
echo "$total jobs explained"
