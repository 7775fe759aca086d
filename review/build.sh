#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the review's scripts into target/review.
set -eu
cd "$(dirname "$0")/.."
flags='-O2 -g'
libraries='reactor wire base'
parts=$(printf 'target/obj/tests/%s.o ' soak/rig soak/faults soak/proxy soak/book soak/plan site_call port_block)
parts="$parts target/obj/review/common/deployment.o"
make -s BUILD=target CFLAGS="$flags" -j8 target/fake_site $parts $(printf 'target/lib%s.a ' $libraries)
mkdir -p target/review
for case in review/[1-5]/case.c; do
  [ -e "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  make -s BUILD=target CFLAGS="$flags" "target/obj/review/$number/case.o"
  # shellcheck disable=SC2046,SC2086
  cc -o "target/review/case-$number" "target/obj/review/$number/case.o" $parts \
    -Wl,--start-group $(printf 'target/lib%s.a ' $libraries) -Wl,--end-group \
    $(pkg-config --libs glib-2.0 json-c msgpack libxxhash libevent_core) -lhttp_parser -lm -lpthread
done
