#!/usr/bin/env bash
# Prepares the stand-ins of the second review's scripts, after the build of the
# deploy file. They are Python and use the libraries in target/deps, so nothing
# is compiled; this checks that they can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:platform/features \
  python3 -c "from support import deployment, standin"
