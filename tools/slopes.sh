#!/usr/bin/env bash
# Runs every bench/slopes_* program and script: what a part or a whole host costs against its sizes, with fits.
#
#   tools/slopes.sh             programs from build/bench, or from $JAYTRAIL_BUILD/bench
set -eu
cd "$(dirname "$0")/.."
bin=${JAYTRAIL_BUILD:-build}/bench
status=0
for source in bench/slopes_*.c; do
  name=$(basename "$source" .c)
  echo "== $name"
  "$bin/$name" || {
    echo "$name failed" >&2
    status=1
  }
done
for script in bench/slopes_*.sh; do
  echo "== $(basename "$script" .sh)"
  "$script" || {
    echo "$script failed" >&2
    status=1
  }
done
exit $status
