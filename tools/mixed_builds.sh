#!/usr/bin/env bash
# Runs the tests on real processes with hosts of two builds beside each other: an upgrade that is under way.
#
#   tools/mixed_builds.sh OTHER_BUILD [SEED...]    OTHER_BUILD: the build directory of another checkout
#
# Twice: one host of OTHER_BUILD among hosts of this build, and one of this build among those of
# OTHER_BUILD; in the second run jaytrail is OTHER_BUILD's too.  Stand-ins and tests are this
# build's.  SEEDs are of the soak, by default the first three of tests/soak/seeds.txt.
set -u
cd "$(dirname "$0")/.."
bin=$(realpath "${JAYTRAIL_BUILD:-build}")
other=$(realpath "${1:?a build directory is needed}")
shift
seeds=${*:-$(grep -o '^[0-9]*' tests/soak/seeds.txt | head -n 3)}
site_tests="test_site test_site_drain test_site_endpoints test_site_hosts"
cases_at_once=3
failed=0

# make_programs DIRECTORY MOST ONE: the programs of MOST, but jaytraild is ONE's for each host whose
# settings file has 1 as its number.
make_programs () {
  rm -rf "$1"
  mkdir -p "$1/tests"
  ln -s "$bin"/fake_* "$1/"
  ln -s "$2/jaytrail" "$1/"
  for test in $site_tests; do
    cp "$bin/tests/$test" "$1/tests/"
  done
  cat >"$1/jaytraild" <<EOF
#!/usr/bin/env bash
settings=\${JAYTRAIL_SETTINGS:-}
[ "\${1:-}" = --settings ] && settings=\$2
name=\$(basename "\${settings%.*}")
case \$name in
  *1) exec "$3/jaytraild" "\$@" ;;
  *) exec "$2/jaytraild" "\$@" ;;
esac
EOF
  chmod +x "$1/jaytraild"
}

# step NAME COMMAND...
step () {
  local name=$1 log
  shift
  log="$bin/mixed-${name//[^a-z0-9_-]/_}.log"
  if "$@" >"$log" 2>&1; then
    echo "ok      $name"
  else
    failed=$((failed + 1))
    echo "FAILED  $name ($log)"
  fi
}

run_all () {
  local label=$1 dir=$2
  for test in $site_tests; do
    step "$label/$test" "$dir/tests/$test"
  done
  for seed in $seeds; do
    step "$label/soak $seed" timeout 200 "$bin/tests/soak" --build "$dir" --seed "$seed"
  done
  # shellcheck disable=SC2016
  step "$label/system" bash -c '"$1/tests/system" --list | tr " " "\n" | xargs -P "$3" -I{} "$1/tests/system" "$2" --one {}' \
    -- "$bin" "$dir" "$cases_at_once"
}

make_programs "$bin/mixed-one-other" "$bin" "$other"
make_programs "$bin/mixed-most-other" "$other" "$bin"
run_all one-other "$bin/mixed-one-other"
run_all most-other "$bin/mixed-most-other"
exit "$((failed > 0))"
