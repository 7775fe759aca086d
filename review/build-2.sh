#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 6 to 10, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
make -s BUILD=target CFLAGS='-O2 -g' -j8 target/jaytraild target/fake_site
packages="glib-2.0 json-c msgpack libxxhash libevent_core"
# shellcheck disable=SC2046
flags="-std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Werror -Ilib -I. $(pkg-config --cflags $packages)"
# shellcheck disable=SC2046
libraries="$(pkg-config --libs $packages) -lhttp_parser -lm -lpthread"
mkdir -p target/review-2
archives="target/libreactor.a target/libwire.a target/libbase.a"
# Case 6 plays the processes and the proxy of the project's own tests.
soak="tests/soak/rig.c tests/soak/faults.c tests/soak/plan.c tests/soak/proxy.c tests/soak/book.c"
# shellcheck disable=SC2086
gcc $flags -o target/review-2/case-6 review/6/case.c tests/resent_job.c $soak tests/site_call.c \
  tests/port_block.c -Wl,--start-group target/libcluster.a $archives -Wl,--end-group $libraries
for case in review/[0-9]*/case.c; do
  number=$(basename "$(dirname "$case")")
  [ "$number" -ge 7 ] || continue
  # shellcheck disable=SC2086
  gcc $flags -o "target/review-2/case-$number" "$case" review/common-2/rig.c \
    tests/site_call.c tests/port_block.c -Wl,--start-group $archives -Wl,--end-group $libraries
done
for standin in review/common-2/standin_*.c; do
  [ -e "$standin" ] || continue
  # shellcheck disable=SC2086
  gcc $flags -o "target/review-2/$(basename "$standin" .c)" "$standin" \
    -Wl,--start-group $archives -Wl,--end-group $libraries
done
