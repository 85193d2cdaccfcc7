#!/usr/bin/env bash
# Compiles the stand-ins in advance; they need only the standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q stand_ins
