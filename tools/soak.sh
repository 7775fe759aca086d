#!/usr/bin/env bash
# Random faults on real processes.  The seed is printed first, so that a run can be repeated.
#
#   tools/soak.sh [SECONDS [SEED]]     programs come from build/, or from $JAYTRAIL_BUILD
set -eu
cd "$(dirname "$0")/.."
bin=${JAYTRAIL_BUILD:-build}
seconds=${1:-60}
seed=${2:-$((RANDOM * 32768 + RANDOM))}
exec "$bin/tests/system" "$bin" --soak "$seed" "$seconds"
