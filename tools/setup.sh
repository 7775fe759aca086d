#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need, where any is missing.
set -eu
cd "$(dirname "$0")/.."
missing=
while read -r package; do
  dpkg-query -W -f='${db:Status-Status}\n' "$package" 2>/dev/null | grep -qx installed || missing="$missing $package"
done <.ci/packages.txt
[ -n "$missing" ] || exit 0
echo "installing:$missing"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086
apt-get install -y -qq --no-install-recommends $missing >/dev/null
