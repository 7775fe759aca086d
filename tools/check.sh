#!/usr/bin/env bash
# Formatter, linter, warnings as errors, all tests plain and under sanitizers; one line a step, a count at the end.
#
#   tools/check.sh            everything
#   tools/check.sh STEP...    some of: format lint layers build units examples system random soak asan tsan
#
# Tests that KNOWN-RED.txt names are run and reported apart; everything else must pass.
set -u
cd "$(dirname "$0")/.."
logs=build/check
rm -rf "$logs"
mkdir -p "$logs"
jobs=$(nproc)
cases_at_once=8
units_at_once=4
lint_jobs=$(((jobs + 1) / 2))
passed=0
failed=0
red=()

# The cases that also run under the thread sanitizer: those with the most threads at work.
tsan_cases="most_tasks many_jobs resubmit_at_once stopped_under_load cancel_wave endpoint_killed"

# is_known_red NAME
is_known_red () { [ -e KNOWN-RED.txt ] && grep -qxF "test: $1" KNOWN-RED.txt; }

# report NAME STATUS LOG
report () {
  if [ "$2" -eq 0 ]; then
    if is_known_red "$1"; then
      red+=("$1 passed this time")
      return
    fi
    passed=$((passed + 1))
    echo "ok      $1"
  elif is_known_red "$1"; then
    red+=("$1 failed")
    echo "red     $1"
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

step_format () { step format bash -c 'git ls-files "*.c" "*.h" | xargs clang-format --dry-run -Werror'; }

# Flags come from compile_flags.txt.  The linter is slow and works beside the tests; its result is reported last.
# It writes its status to a file: the shell forgets the status of a child whose process id is used again meanwhile.
lint_started=
step_lint () {
  lint_started=yes
  {
    git ls-files '*.c' | xargs -P "$lint_jobs" -n 1 clang-tidy --quiet >"$logs/lint.log" 2>&1
    echo $? >"$logs/lint.status"
  } &
}
finish_lint () {
  [ -n "$lint_started" ] || return 0
  wait
  report lint "$(cat "$logs/lint.status" 2>/dev/null || echo 1)" "$logs/lint.log"
}

step_layers () { step layers tools/layers.sh; }

step_build () { step build make -s -j"$jobs" all units system benches examples; }

# run_units DIRECTORY LABEL: every unit test program, several at once, reported in order.
run_units () {
  local dir=$1 label=$2 name names
  names=$(find "$dir/tests" -maxdepth 1 -type f -perm -u+x -name 'test_*' -printf '%f\n' | sort)
  # shellcheck disable=SC2016
  echo "$names" | xargs -P "$units_at_once" -I{} bash -c \
    '"$1/tests/$3" >"$2-$3.log" 2>&1; echo $? >"$2-$3.status"' -- "$dir" "$logs/$label" {}
  for name in $names; do
    report "$label/$name" "$(cat "$logs/$label-$name.status" 2>/dev/null || echo 1)" "$logs/$label-$name.log"
  done
}

step_units () { run_units build units; }

step_examples () {
  local example
  for example in build/examples/*/*_example; do
    case $example in
      *.d) ;;
      */platform_example) step examples/platform_example timeout 60 tools/platform_example.sh ;;
      *) [ -x "$example" ] && step "examples/$(basename "$example")" timeout 60 "$example" ;;
    esac
  done
}

# run_cases DIRECTORY LABEL CASE...: system cases, several at once, reported in order.
run_cases () {
  local dir=$1 label=$2 name
  shift 2
  printf '%s\n' "$@" | xargs -P "$cases_at_once" -I{} tools/run_case.sh "$dir" {} "$logs/$label-{}"
  for name in "$@"; do
    report "$label/$name" "$(cat "$logs/$label-$name.status" 2>/dev/null || echo 1)" "$logs/$label-$name.log"
  done
}

step_system () {
  # shellcheck disable=SC2046
  [ -x build/tests/system ] && run_cases build system $(build/tests/system --list)
}

# Random faults behind jaytrail's own interface.
step_random () {
  step random timeout 200 build/tests/system build --soak 5 10
}

# Random faults on a site: the seeds that ever failed.
step_soak () {
  step soak timeout 400 tools/soak.sh kept
  # Callers that lose their connection unseen, while hosts stop and start again.
  step soak/broken timeout 100 build/tests/soak --seed 55200 --broken 10
  # A small deployment's day; the size is for runs by hand.
  step soak/deployment timeout 100 build/tests/deployment --seed 41 --hosts 9 --endpoints 3 --callers 40 --rate 60 --seconds 8
}

step_asan () {
  step asan/build make -s -j"$jobs" BUILD=build-asan SAN=address,undefined CFLAGS="-O1 -g" all units system
  run_units build-asan asan
  # shellcheck disable=SC2046
  [ -x build-asan/tests/system ] && run_cases build-asan asan-system $(build-asan/tests/system --list)
  step asan/soak timeout 200 build-asan/tests/soak --build build-asan --seed 1013
}

step_tsan () {
  step tsan/build make -s -j"$jobs" BUILD=build-tsan SAN=thread CFLAGS="-O1 -g" all units system
  step tsan/test_http build-tsan/tests/test_http
  step tsan/test_net build-tsan/tests/test_net
  step tsan/test_platform build-tsan/tests/test_platform
  # shellcheck disable=SC2086
  [ -x build-tsan/tests/system ] && run_cases build-tsan tsan-system $tsan_cases
}

for name in ${*:-format lint layers build units examples system random soak asan tsan}; do
  "step_$name"
done
finish_lint
if [ "${#red[@]}" -gt 0 ]; then
  echo "known red, run and reported apart (KNOWN-RED.txt):"
  printf '  %s\n' "${red[@]}"
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
