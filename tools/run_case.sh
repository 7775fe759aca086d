#!/usr/bin/env bash
# Runs one system case for tools/check.sh: run_case.sh BUILD CASE PREFIX
# Writes PREFIX.log and PREFIX.status.  A sanitizer's report of any process fails the case.
set -u
build=$1 name=$2 prefix=$3
report="$PWD/$prefix.san"
options="log_path=$report:exitcode=99"
suppressions=$PWD/tools/tsan.supp
# GLib reuses blocks of its slice allocator between threads by locks that the thread sanitizer cannot see.
export G_SLICE=always-malloc
ASAN_OPTIONS="$options:detect_leaks=0" UBSAN_OPTIONS="$options:print_stacktrace=1" \
  TSAN_OPTIONS="$options:suppressions=$suppressions" \
  timeout 300 "$build/tests/system" "$build" --one "$name" >"$prefix.log" 2>&1
status=$?
for file in "$report"*; do
  [ -e "$file" ] || continue
  status=1
  head -n 30 "$file" >>"$prefix.log"
done
echo "$status" >"$prefix.status"
exit 0
