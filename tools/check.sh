#!/usr/bin/env bash
# Formatter, linter, warnings as errors, all tests under sanitizers; one line a step and a count at the end.
#
#   tools/check.sh            everything
#   tools/check.sh STEP...    some of: format lint build units asan tsan system
set -u
cd "$(dirname "$0")/.."
logs=build/check
mkdir -p "$logs"
jobs=$(nproc)
passed=0
failed=0

# report NAME STATUS LOG
report () {
  if [ "$2" -eq 0 ]; then
    passed=$((passed + 1))
    echo "ok      $1"
  else
    failed=$((failed + 1))
    echo "FAILED  $1"
    tail -n 40 "$3" | sed 's/^/        /'
  fi
}

# step NAME COMMAND...
step () {
  local name=$1 log
  shift
  log="$logs/${name//[^a-z0-9_-]/_}.log"
  "$@" >"$log" 2>&1
  report "$name" $? "$log"
}

sources () { git ls-files '*.c' '*.h'; }
step_format () { step format bash -c 'git ls-files "*.c" "*.h" | xargs clang-format --dry-run -Werror'; }
step_lint () {
  # Flags come from compile_flags.txt.
  step lint bash -c "git ls-files '*.c' | xargs -P $jobs -n 4 clang-tidy --quiet"
}
step_build () { step build make -s -j"$jobs" all units system benches examples; }
# run_units DIRECTORY LABEL: every unit test program, each with its own line.
run_units () {
  local test name
  for test in "$1"/tests/test_*; do
    case "$test" in *.*) continue ;; esac
    [ -x "$test" ] || continue
    name=$(basename "$test")
    step "$2/$name" "$test"
  done
}
step_units () { run_units build units; }
step_asan () {
  step asan-build make -s -j"$jobs" BUILD=build-asan SAN=address,undefined CFLAGS="-O1 -g" all units system
  run_units build-asan asan
}
step_tsan () {
  step tsan-build make -s -j"$jobs" BUILD=build-tsan SAN=thread CFLAGS="-O1 -g" all units system
  run_units build-tsan tsan
}
step_system () {
  [ -x build/tests/system ] || return 0
  step system build/tests/system
}

for name in ${*:-format lint build units asan tsan system}; do
  "step_$name"
done
if [ -s KNOWN-RED.txt ]; then
  echo "known red (run and reported apart):"
  sed 's/^/  /' KNOWN-RED.txt
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
