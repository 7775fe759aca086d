#!/usr/bin/env bash
# Random faults on the real processes of a site.  Seeds are printed, so that a run can be repeated with
# `build/tests/soak --seed N` and made smaller with --shrink.
#
#   tools/soak.sh [MINUTES]    fresh seeds
#   tools/soak.sh kept         every seed that ever failed (tests/soak/seeds.txt), several at once
#
# Programs come from build/, or from $JAYTRAIL_BUILD.
set -eu
cd "$(dirname "$0")/.."
bin=${JAYTRAIL_BUILD:-build}
at_once=4
if [ "${1:-}" = kept ]; then
  grep -o '^[0-9]*' tests/soak/seeds.txt |
    xargs -P "$at_once" -I{} "$bin/tests/soak" --build "$bin" --seed {}
else
  exec "$bin/tests/soak" --build "$bin" --minutes "${1:-2}"
fi
