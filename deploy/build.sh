#!/usr/bin/env bash
# Installs the pinned libraries and copies the product's packages to target/deps.
set -euo pipefail
deps=target/deps
if [ ! -e "$deps/.installed" ] || [ deploy/requirements.txt -nt "$deps/.installed" ]; then
  rm -rf "$deps"
  python3 -m pip install -q --disable-pip-version-check --target "$deps" -r deploy/requirements.txt
  touch "$deps/.installed"
fi
rm -rf "$deps"/daisygauge_*
cp -r packages/*/src/daisygauge_* platform/src/daisygauge_platform "$deps/"
find "$deps" -name '*.egg-info' -prune -exec rm -rf {} +
# Compiles in advance: processes can't write compiled files at run time and would
# compile at every start.
python3 -m compileall -q "$deps"
