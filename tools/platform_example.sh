#!/usr/bin/env bash
# Runs the example of lib/platform against the stand-in.
set -eu
cd "$(dirname "$0")/.."
. tools/deploy.sh
start_platform
"$bin/examples/platform/platform_example" "$platform"
