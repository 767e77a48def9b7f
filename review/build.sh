#!/usr/bin/env bash
# Prepares the stand-ins of the review scripts, after the build of the deploy
# file. They are Python and use the libraries in target/deps, so nothing is
# compiled; this checks that they can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:platform/features:review/common \
  python3 -c "from support import standin; import world"
